/**
 * Fuzz target `lives`: registrations of runners that start again, in any order.
 *
 * Oracle: a reading of all that happened to an id. With addresses that runners
 * share, or without starts, only rules that hold at any moment are checked.
 */
import fc from "fast-check";
import { LAPSE_GRACE_MS } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";
import { runJudged } from "../run-judged.js";
import type { FuzzTarget } from "../target.js";
import { readId } from "./oracle.js";
import { sharedAddressFaults } from "./shared-addresses.js";
import { untoldFaults } from "./untold-starts.js";
import { DirectoryWorld } from "./world.js";

const IDS = ["a", "b", "c"] as const;
const FIRST_START = 1_790_000_000_000;
const LATEST_LIFE = 3;
const HIGHEST_HEARTBEAT = 6;
const ADDRESSES = 2;
const LONGEST_HISTORY = 40;
/** All waits of a history together stay below the time a past life is kept. */
const LONGEST_WAIT_MS = 1200;

/** `shared`: addresses of all ids are the same; `untold`: no starts. */
type Mode = "told" | "shared" | "untold";

interface Registration {
  readonly id: (typeof IDS)[number];
  readonly life: number;
  readonly heartbeat: number;
  readonly place: number;
  readonly isLeaving: boolean;
}

type Command =
  | { readonly kind: "register"; readonly registration: Registration }
  | { readonly kind: "remove"; readonly id: string }
  | { readonly kind: "replace"; readonly registrations: Registration[] }
  | { readonly kind: "outage"; readonly isAway: boolean }
  | { readonly kind: "wait"; readonly durationMs: number };

export interface LivesHistory {
  readonly mode: Mode;
  readonly steps: readonly Command[];
}

const registration: fc.Arbitrary<Registration> = fc.record({
  id: fc.constantFrom(...IDS),
  life: fc.nat({ max: LATEST_LIFE }),
  heartbeat: fc.integer({ min: 1, max: HIGHEST_HEARTBEAT }),
  place: fc.nat({ max: ADDRESSES - 1 }),
  isLeaving: fc.constantFrom(false, false, false, true),
});

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("register" as const),
      registration,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("remove" as const),
      id: fc.constantFrom(...IDS),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("replace" as const),
      registrations: fc.uniqueArray(registration, {
        maxLength: IDS.length,
        selector: ({ id }) => id,
      }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("outage" as const),
      isAway: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      durationMs: fc.integer({ min: 1, max: LONGEST_WAIT_MS }),
    }),
  },
);

const history: fc.Arbitrary<LivesHistory> = fc.record({
  mode: fc.constantFrom("told" as const, "shared" as const, "untold" as const),
  steps: fc.array(command, {
    minLength: 1,
    maxLength: LONGEST_HISTORY,
    size: "max",
  }),
});

function serverOf(
  mode: Mode,
  { id, life, heartbeat, place, isLeaving }: Registration,
): BackendServer {
  const host = mode === "shared" ? "shared" : id;
  return {
    id,
    startedAtMs: mode === "untold" ? undefined : FIRST_START + life,
    service: "model",
    address: `${host}:${place}`,
    dataCentre: "here",
    // So that it shows which registration counts.
    slots: heartbeat,
    isLeaving,
    heartbeat,
  };
}

function play(world: DirectoryWorld, mode: Mode, step: Command): void {
  switch (step.kind) {
    case "register":
      world.register(serverOf(mode, step.registration));
      return;
    case "remove":
      world.remove(step.id);
      return;
    case "replace":
      world.replace(
        step.registrations.map((item) => serverOf(mode, item)),
        IDS,
      );
      return;
    case "outage":
      world.setAway(step.isAway);
      return;
    case "wait":
      world.pass(step.durationMs);
  }
}

/** Plays a history; returns what the oracle found after its first bad step. */
export function judgeLives({ mode, steps }: LivesHistory): readonly string[] {
  const world = DirectoryWorld.create(LAPSE_GRACE_MS);
  for (const step of steps) {
    play(world, mode, step);
    const faults = faultsOf(world, mode);
    if (faults.length > 0) return faults;
  }
  return [];
}

function faultsOf(world: DirectoryWorld, mode: Mode): readonly string[] {
  switch (mode) {
    case "told":
      return IDS.flatMap((id) => exactFaults(world, id));
    case "shared":
      return sharedAddressFaults(world);
    case "untold":
      return IDS.flatMap((id) => untoldFaults(world, id));
  }
}

function exactFaults(world: DirectoryWorld, id: string): readonly string[] {
  const { server, lives } = readId(id, world.facts, world);
  const found = world.serving.get(id);
  const faults: string[] = [];
  if (textOf(found) !== textOf(server)) {
    faults.push(`${id} is ${textOf(found)} in place of ${textOf(server)}`);
  }
  const ended = world.ended
    .filter(({ earlier }) => earlier.id === id)
    .map(({ earlier, later }) =>
      [earlier, later].map(({ startedAtMs }) => startedAtMs).join(" by "),
    );
  const wanted = lives
    .slice(1)
    .map((start, index) => `${lives[index]} by ${start}`);
  if (ended.join() !== wanted.join()) {
    faults.push(`${id}: ended ${ended.join()} in place of ${wanted.join()}`);
  }
  return faults;
}

function textOf(server: BackendServer | undefined): string {
  if (server === undefined) return "absent";
  const { startedAtMs, address, slots } = server;
  return `${startedAtMs ?? "untold"} at ${address} with ${slots}`;
}

export const livesTarget: FuzzTarget = {
  name: "lives",
  mutations: {},
  run: (settings) =>
    Promise.resolve(
      runJudged(settings, {
        history,
        judge: judgeLives,
        title: ({ mode }) => `mode ${mode}`,
      }),
    ),
};
