/** The register: pages, reader and directory against a plain reading. */
import fc from "fast-check";
import { decodeRegistration } from "../../platform/register.js";
import {
  decodeChangesPage,
  decodeNewestPage,
} from "../../platform/store-pages.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import { BackendServerDirectory } from "../../src/membership/directory.js";
import { RegisterReader } from "../../src/membership/register-reader.js";
import type { RegisterChange } from "../../src/membership/types.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import {
  addressVerdict,
  badAddresses,
  goodAddresses,
  objectOf,
  type Verdict,
} from "./oracle.js";
import type { RecordShape, Step } from "./steps.js";
import { WrittenTopic, type Written } from "./topic.js";

const GOOD_ID = "i-";
const LONGEST_KEY = 255;

export const registerKeys = [
  `${GOOD_ID}0`,
  `${GOOD_ID}1`,
  `${GOOD_ID}2`,
  "",
  "r 1",
  "k".repeat(LONGEST_KEY),
];

const text = { good: fc.constantFrom("a", "b"), odd: fc.constantFrom(7, null) };
const count = (least: number, odd: readonly unknown[]) => ({
  good: fc.integer({ min: least, max: 9 }),
  odd: fc.constantFrom("8", null, true, 1.5, ...odd),
});

export const registerShape: RecordShape = {
  backend: text,
  address: {
    good: fc.constantFrom(...goodAddresses),
    odd: fc.constantFrom<unknown>(...badAddresses, 80, null),
  },
  zone: text,
  version: text,
  slots: count(1, [0, -3]),
  state: {
    good: fc.constantFrom("ready", "ready", "draining"),
    odd: fc.constantFrom<unknown>("resting", "", "READY", 1, null),
  },
  cold_left_ms: {
    good: fc.double({ min: 0, max: 9, noNaN: true }),
    odd: fc.constantFrom<unknown>("0", null, []),
  },
  sequence: count(0, []),
};

/** Bytes that are a newest record to nobody. */
const oddEntries: readonly unknown[] = [
  null,
  17,
  [],
  {},
  { key: 5, data: "", offset: 1 },
  { data: "aGE=", offset: 2 },
];

export function judgeRegister(steps: readonly Step[]): readonly string[] {
  const world = RegisterWorld.create();
  for (const step of steps) {
    if (step.kind === "page") world.read(step.extraBytes);
    else world.topic.write(step);
  }
  world.read(0);
  world.readNewest();
  return world.violations;
}

class RegisterWorld {
  readonly violations: string[] = [];
  readonly topic = WrittenTopic.create(registerKeys);
  private readonly known = new Set<string>();
  private offset = 0;
  private readonly reader = RegisterReader.create({
    decode: decodeRegistration,
    findings: RecordFindings.create({
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
    }),
  });
  private readonly directory = BackendServerDirectory.create({
    now: () => 0,
    after: () => undefined,
    emit: ignoreEvents,
    isServiceNamed: () => false,
    onEnded: () => undefined,
    onServer: ({ id }) => this.known.add(id),
    onGone: (id) => this.known.delete(id),
  });

  private constructor() {
    // Made by create.
  }

  static create(): RegisterWorld {
    return new RegisterWorld();
  }

  read(extraBytes: number): void {
    const written = this.topic.history.slice(this.offset);
    const page = decodeChangesPage(this.topic.page(this.offset, extraBytes));
    this.offset += page.length;
    this.check(page.length === written.length, "records lost on the page");
    const changes = this.reader.read(page.records);
    this.compare(written, changes);
    this.directory.apply(changes);
    this.checkDirectory();
  }

  readNewest(): void {
    const page = decodeNewestPage(this.topic.newest(oddEntries));
    this.check(page.unreadable.length === oddEntries.length, "odd entries");
    const changes = this.reader.read(page.records);
    for (const change of changes) {
      const written = this.newestOf(change.id);
      if (written !== undefined) this.compare([written], [change]);
    }
    const ids = new Set(changes.map(({ id }) => id));
    for (const key of registerKeys) {
      const isThere = this.newestOf(key)?.value !== undefined;
      this.check(ids.has(key) === isThere, `${key} among the newest`);
    }
  }

  private compare(
    written: readonly Written[],
    changes: readonly RegisterChange[],
  ): void {
    const keyed = written.filter(({ key }) => key !== undefined);
    this.check(keyed.length === changes.length, "a change for each record");
    keyed.forEach((record, at) => {
      this.compareOne(record, changes[at]);
    });
  }

  private compareOne(written: Written, change: RegisterChange): void {
    const { key, value } = written;
    const name = JSON.stringify(key);
    this.check(change.id === key, `${name} has its id`);
    if (value === undefined) {
      const isRemoval = change.server === undefined && !change.isUnusable;
      this.check(isRemoval, `${name} is removed`);
      return;
    }
    const verdict = verdictOf(written);
    const isUsable = change.server !== undefined;
    if (verdict !== "open") {
      this.check(isUsable === (verdict === "good"), `${name} is ${verdict}`);
    }
    this.check(isUsable !== (change.isUnusable ?? false), `${name} has an end`);
    if (isUsable) this.compareFields(value, change);
  }

  private compareFields(value: Buffer, { id, server }: RegisterChange): void {
    const fields = objectOf(value);
    const expected = [
      id,
      fields?.backend,
      fields?.address,
      fields?.zone,
      fields?.slots,
      fields?.state === "draining",
      fields?.sequence,
    ];
    const found = [
      server?.id,
      server?.service,
      server?.address,
      server?.dataCentre,
      server?.slots,
      server?.isLeaving,
      server?.heartbeat,
    ];
    const isWhole = JSON.stringify(expected) === JSON.stringify(found);
    this.check(isWhole, `${id} is unharmed`);
  }

  /** One that is bad or gone is never known; a good one is, unless it left. */
  private checkDirectory(): void {
    for (const key of registerKeys) {
      const newest = this.newestOf(key);
      if (newest === undefined) continue;
      const verdict = verdictOf(newest);
      if (verdict === "bad") {
        this.check(!this.known.has(key), `${key} isn't used`);
      }
      if (verdict === "good" && this.isUndisputed(key)) {
        this.check(this.known.has(key), `${key} is used`);
      }
    }
  }

  private newestOf(key: string): Written | undefined {
    return this.topic.history.findLast((record) => record.key === key);
  }

  /** Never said to leave, never with a higher heartbeat. */
  private isUndisputed(key: string): boolean {
    const said = this.topic.history
      .filter((record) => record.key === key)
      .map(({ value }) => (value === undefined ? undefined : objectOf(value)));
    const last = Number(said.at(-1)?.sequence);
    return said.every(
      (fields) =>
        fields === undefined ||
        (fields.state !== "draining" && !(Number(fields.sequence) > last)),
    );
  }

  private check(holds: boolean, what: string): void {
    if (!holds) this.violations.push(`register: ${what}`);
  }
}

function verdictOf({ key, value }: Written): Verdict {
  if (value === undefined) return "bad";
  const entry = objectOf(value);
  if (entry === undefined || !key?.startsWith(GOOD_ID)) return "bad";
  const { backend, zone, version, address, slots, state } = entry;
  const texts = [backend, zone, version];
  const isWhole =
    texts.every((field) => typeof field === "string") &&
    Number.isSafeInteger(slots) &&
    Number(slots) >= 1 &&
    (state === "ready" || state === "draining") &&
    Number.isSafeInteger(entry.sequence) &&
    Number.isFinite(entry.cold_left_ms);
  return isWhole ? addressVerdict(address) : "bad";
}
