/**
 * Fuzz target `lives`: registrations of restarting runners in any order.
 *
 * The oracle derives the expected state of an id from all of its events. If
 * runners share addresses, or if start times are unknown, only invariants that
 * hold after every step are checked.
 */
import fc from "fast-check";
import { LAPSE_GRACE_MS } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";
import { runCheckedHistories } from "../run-checked-histories.js";
import type { FuzzTarget } from "../target.js";
import { expectedStateOf } from "./oracle.js";
import { sharedAddressViolations } from "./shared-addresses.js";
import { unknownStartViolations } from "./unknown-starts.js";
import { DirectorySimulation } from "./directory-simulation.js";

const IDS = ["a", "b", "c"] as const;
const FIRST_START_MS = 1_790_000_000_000;
const MAXIMUM_INCARNATION = 3;
const MAXIMUM_HEARTBEAT = 6;
const ADDRESSES_PER_HOST = 2;
const MAXIMUM_STEPS = 40;
/** All waits of a history together stay below `INACTIVE_RETENTION_MS`. */
const MAXIMUM_WAIT_MS = 1200;

/**
 * `known-starts`: start times are known and each id has its own addresses;
 * `shared-addresses`: all ids use the same addresses; `unknown-starts`: start
 * times are unknown.
 */
type Mode = "known-starts" | "shared-addresses" | "unknown-starts";

interface Registration {
  readonly id: (typeof IDS)[number];
  readonly incarnation: number;
  readonly heartbeat: number;
  readonly addressIndex: number;
  readonly isLeaving: boolean;
}

type Command =
  | { readonly kind: "register"; readonly registration: Registration }
  | { readonly kind: "remove"; readonly id: string }
  | { readonly kind: "replace"; readonly registrations: Registration[] }
  | { readonly kind: "outage"; readonly isDown: boolean }
  | { readonly kind: "wait"; readonly durationMs: number };

export interface IncarnationHistory {
  readonly mode: Mode;
  readonly steps: readonly Command[];
}

const registration: fc.Arbitrary<Registration> = fc.record({
  id: fc.constantFrom(...IDS),
  incarnation: fc.nat({ max: MAXIMUM_INCARNATION }),
  heartbeat: fc.integer({ min: 1, max: MAXIMUM_HEARTBEAT }),
  addressIndex: fc.nat({ max: ADDRESSES_PER_HOST - 1 }),
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
      isDown: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      durationMs: fc.integer({ min: 1, max: MAXIMUM_WAIT_MS }),
    }),
  },
);

const history: fc.Arbitrary<IncarnationHistory> = fc.record({
  mode: fc.constantFrom(
    "known-starts" as const,
    "shared-addresses" as const,
    "unknown-starts" as const,
  ),
  steps: fc.array(command, {
    minLength: 1,
    maxLength: MAXIMUM_STEPS,
    size: "max",
  }),
});

function serverOf(
  mode: Mode,
  { id, incarnation, heartbeat, addressIndex, isLeaving }: Registration,
): BackendServer {
  const host = mode === "shared-addresses" ? "shared-addresses" : id;
  return {
    id,
    startedAtMs:
      mode === "unknown-starts" ? undefined : FIRST_START_MS + incarnation,
    service: "model",
    address: `${host}:${addressIndex}`,
    dataCentre: "here",
    // Shows which registration is the active one.
    slots: heartbeat,
    isLeaving,
    coldLeftMs: 0,
    heartbeat,
  };
}

function applyCommand(
  simulation: DirectorySimulation,
  mode: Mode,
  step: Command,
): void {
  switch (step.kind) {
    case "register":
      simulation.register(serverOf(mode, step.registration));
      return;
    case "remove":
      simulation.remove(step.id);
      return;
    case "replace":
      simulation.replace(
        step.registrations.map((item) => serverOf(mode, item)),
        IDS,
      );
      return;
    case "outage":
      simulation.setStoreDown(step.isDown);
      return;
    case "wait":
      simulation.advance(step.durationMs);
  }
}

/** Runs a history; returns the violations after its first failing step. */
export function checkIncarnations({
  mode,
  steps,
}: IncarnationHistory): readonly string[] {
  const simulation = DirectorySimulation.create(LAPSE_GRACE_MS);
  for (const step of steps) {
    applyCommand(simulation, mode, step);
    const violations = violationsOf(simulation, mode);
    if (violations.length > 0) return violations;
  }
  return [];
}

function violationsOf(
  simulation: DirectorySimulation,
  mode: Mode,
): readonly string[] {
  switch (mode) {
    case "known-starts":
      return IDS.flatMap((id) => exactViolations(simulation, id));
    case "shared-addresses":
      return sharedAddressViolations(simulation);
    case "unknown-starts":
      return IDS.flatMap((id) => unknownStartViolations(simulation, id));
  }
}

function exactViolations(
  simulation: DirectorySimulation,
  id: string,
): readonly string[] {
  const { server, starts } = expectedStateOf(id, simulation.events, simulation);
  const actual = simulation.active.get(id);
  const violations: string[] = [];
  if (describeServer(actual) !== describeServer(server)) {
    violations.push(
      `${id} is ${describeServer(actual)}, expected ${describeServer(server)}`,
    );
  }
  const replaced = simulation.replacements
    .filter(({ earlier }) => earlier.id === id)
    .map(({ earlier, later }) =>
      [earlier, later].map(({ startedAtMs }) => startedAtMs).join(" by "),
    );
  const expected = starts
    .slice(1)
    .map((start, index) => `${starts[index]} by ${start}`);
  if (replaced.join() !== expected.join()) {
    violations.push(
      `${id}: replaced ${replaced.join()}, expected ${expected.join()}`,
    );
  }
  return violations;
}

function describeServer(server: BackendServer | undefined): string {
  if (server === undefined) return "absent";
  const { startedAtMs, address, slots } = server;
  return `${startedAtMs ?? "unknown start"} at ${address} with ${slots} slots`;
}

export const incarnationsTarget: FuzzTarget = {
  name: "lives",
  mutations: {},
  run: (settings) =>
    Promise.resolve(
      runCheckedHistories(settings, {
        history,
        check: checkIncarnations,
        title: ({ mode }) => `mode ${mode}`,
      }),
    ),
};
