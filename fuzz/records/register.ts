/**
 * Register records: compares page decoder, reader and directory with a simple
 * model.
 */
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
  classifyAddress,
  invalidAddresses,
  validAddresses,
  parseJson,
  type Validity,
} from "./oracle.js";
import type { RecordShape, Step } from "./steps.js";
import { TopicModel, type WrittenRecord } from "./topic.js";

const VALID_ID_PREFIX = "i-";
const MAXIMUM_KEY_BYTES = 255;

export const registerKeys = [
  `${VALID_ID_PREFIX}0`,
  `${VALID_ID_PREFIX}1`,
  `${VALID_ID_PREFIX}2`,
  "",
  "r 1",
  "k".repeat(MAXIMUM_KEY_BYTES),
];

const textField = {
  valid: fc.constantFrom("a", "b"),
  invalid: fc.constantFrom(7, null),
};
const integerField = (minimum: number, invalid: readonly unknown[]) => ({
  valid: fc.integer({ min: minimum, max: 9 }),
  invalid: fc.constantFrom("8", null, true, 1.5, ...invalid),
});

export const registerShape: RecordShape = {
  backend: textField,
  address: {
    valid: fc.constantFrom(...validAddresses),
    invalid: fc.constantFrom<unknown>(...invalidAddresses, 80, null),
  },
  zone: textField,
  version: textField,
  slots: integerField(1, [0, -3]),
  state: {
    valid: fc.constantFrom("ready", "ready", "draining"),
    invalid: fc.constantFrom<unknown>("resting", "", "READY", 1, null),
  },
  cold_left_ms: {
    valid: fc.double({ min: 0, max: 9, noNaN: true }),
    invalid: fc.constantFrom<unknown>("0", null, []),
  },
  sequence: integerField(0, []),
};

/** Entries that aren't valid newest records. */
const malformedEntries: readonly unknown[] = [
  null,
  17,
  [],
  {},
  { key: 5, data: "", offset: 1 },
  { data: "aGE=", offset: 2 },
];

export function checkRegister(steps: readonly Step[]): readonly string[] {
  const checker = RegisterChecker.create();
  for (const step of steps) {
    if (step.kind === "page") checker.read(step.extraBytes);
    else checker.topic.write(step);
  }
  checker.read(0);
  checker.readNewest();
  return checker.violations;
}

class RegisterChecker {
  readonly violations: string[] = [];
  readonly topic = TopicModel.create(registerKeys);
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
    onServerReplaced: () => undefined,
    onServerAvailable: ({ id }) => this.known.add(id),
    onServerUnavailable: (id) => this.known.delete(id),
  });

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): RegisterChecker {
    return new RegisterChecker();
  }

  read(extraBytes: number): void {
    const written = this.topic.history.slice(this.offset);
    const page = decodeChangesPage(this.topic.page(this.offset, extraBytes));
    this.offset += page.length;
    this.check(
      page.length === written.length,
      "the page contains every record",
    );
    const changes = this.reader.read(page.records);
    this.compare(written, changes);
    this.directory.apply(changes);
    this.checkDirectory();
  }

  readNewest(): void {
    const page = decodeNewestPage(this.topic.newest(malformedEntries));
    this.check(
      page.unreadable.length === malformedEntries.length,
      "malformed newest entries are reported",
    );
    const changes = this.reader.read(page.records);
    for (const change of changes) {
      const written = this.newestRecord(change.id);
      if (written !== undefined) this.compare([written], [change]);
    }
    const ids = new Set(changes.map(({ id }) => id));
    for (const key of registerKeys) {
      const isPresent = this.newestRecord(key)?.value !== undefined;
      this.check(
        ids.has(key) === isPresent,
        `${key} is among the newest records only if present`,
      );
    }
  }

  private compare(
    written: readonly WrittenRecord[],
    changes: readonly RegisterChange[],
  ): void {
    const keyed = written.filter(({ key }) => key !== undefined);
    this.check(
      keyed.length === changes.length,
      "there is a change for each record",
    );
    keyed.forEach((record, index) => {
      this.compareRecord(record, changes[index]);
    });
  }

  private compareRecord(written: WrittenRecord, change: RegisterChange): void {
    const { key, value } = written;
    const name = JSON.stringify(key);
    this.check(change.id === key, `${name} keeps its id`);
    if (value === undefined) {
      const isRemoval = change.server === undefined && !change.isUnusable;
      this.check(isRemoval, `${name} is removed`);
      return;
    }
    const validity = classifyRecord(written);
    const isUsable = change.server !== undefined;
    if (validity !== "open") {
      this.check(isUsable === (validity === "valid"), `${name} is ${validity}`);
    }
    this.check(
      isUsable !== (change.isUnusable ?? false),
      `${name} is either usable or marked unusable`,
    );
    if (isUsable) this.compareFields(value, change);
  }

  private compareFields(value: Buffer, { id, server }: RegisterChange): void {
    const fields = parseJson(value);
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
    const isValid = JSON.stringify(expected) === JSON.stringify(found);
    this.check(isValid, `${id} keeps its fields`);
  }

  /**
   * An invalid newest record makes its runner unknown. A valid one makes it
   * known unless an earlier record was draining or had a higher heartbeat.
   */
  private checkDirectory(): void {
    for (const key of registerKeys) {
      const newest = this.newestRecord(key);
      if (newest === undefined) continue;
      const validity = classifyRecord(newest);
      if (validity === "invalid") {
        this.check(!this.known.has(key), `${key} isn't used`);
      }
      if (validity === "valid" && this.mustBeKnown(key)) {
        this.check(this.known.has(key), `${key} is used`);
      }
    }
  }

  private newestRecord(key: string): WrittenRecord | undefined {
    return this.topic.history.findLast((record) => record.key === key);
  }

  /**
   * True when no record of the key was draining or had a higher heartbeat than
   * the last one.
   */
  private mustBeKnown(key: string): boolean {
    const registrations = this.topic.history
      .filter((record) => record.key === key)
      .map(({ value }) => (value === undefined ? undefined : parseJson(value)));
    const last = Number(registrations.at(-1)?.sequence);
    return registrations.every(
      (fields) =>
        fields === undefined ||
        (fields.state !== "draining" && !(Number(fields.sequence) > last)),
    );
  }

  private check(isMet: boolean, rule: string): void {
    if (!isMet) this.violations.push(`register: violated: ${rule}`);
  }
}

function classifyRecord({ key, value }: WrittenRecord): Validity {
  if (value === undefined) return "invalid";
  const entry = parseJson(value);
  if (entry === undefined || !key?.startsWith(VALID_ID_PREFIX))
    return "invalid";
  const { backend, zone, version, address, slots, state } = entry;
  const texts = [backend, zone, version];
  const isValid =
    texts.every((field) => typeof field === "string") &&
    Number.isSafeInteger(slots) &&
    Number(slots) >= 1 &&
    (state === "ready" || state === "draining") &&
    Number.isSafeInteger(entry.sequence) &&
    Number.isFinite(entry.cold_left_ms);
  return isValid ? classifyAddress(address) : "invalid";
}
