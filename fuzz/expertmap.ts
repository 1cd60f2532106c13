/**
 * Fuzz target `expertmap`: one group under faults.
 *
 * Invariants, checked on the steps recorded by the engines: all ranks of an
 * incarnation use one map in every step; the version never falls below a
 * committed one; and once the faults end, every rank continues to step and no
 * proposal stays undecided.
 */
import fc from "fast-check";
import { allSwitchSafeguards, ballotKey } from "../src/internal.js";
import {
  candidateMap,
  TICK_INTERVAL_MS,
  GroupSimulation,
  type CallFault,
} from "./expertmap-simulation.js";
import { runCheckedHistories } from "./run-checked-histories.js";
import type { FuzzResult, FuzzSettings, FuzzTarget } from "./target.js";

type Fault =
  | { readonly kind: "propose"; readonly member: number; readonly map: number }
  | { readonly kind: "network"; readonly ticks: number }
  | { readonly kind: "calls"; readonly ticks: number }
  | { readonly kind: "store"; readonly ticks: number }
  | {
      readonly kind: "cut";
      readonly from: number;
      readonly to: number;
      readonly ticks: number;
    }
  | { readonly kind: "pause"; readonly member: number; readonly ticks: number }
  | {
      readonly kind: "restartAgent";
      readonly member: number;
      readonly oldGoesOn: boolean;
    }
  | { readonly kind: "stall"; readonly member: number; readonly ticks: number }
  | { readonly kind: "restartEngine"; readonly member: number }
  | { readonly kind: "replace"; readonly member: number }
  | {
      readonly kind: "trap";
      readonly member: number;
      readonly call: CallFault["call"];
      readonly act: CallFault["act"];
      readonly lossy: boolean;
    };

interface Step {
  readonly fault: Fault;
  /** Time until the next step, in ticks. */
  readonly wait: number;
}

export interface History {
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** The group forms within this time if there are no faults. */
const START_TICKS = 120;
/** Once the faults end, the group must recover within this time. */
const RECOVERY_TICKS = 800;
const SETTLE_TICKS = 50;
const MINIMUM_RECOVERY_STEPS = 10;

const member = fc.nat({ max: 2 });
const ticks = fc.integer({ min: 1, max: 120 });

const faultableCalls: readonly CallFault["call"][] = [
  "stage",
  "arm",
  "arm",
  "arm",
  "refuse",
  "commit",
  "abort",
  "seal",
  "join",
];
const callFaultActions: readonly CallFault["act"][] = [
  "restartAgent",
  "doubleAgent",
  "pauseAgent",
  "restartEngine",
];

const fault: fc.Arbitrary<Fault> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("propose" as const),
      member,
      map: fc.nat({ max: 3 }),
    }),
  },
  fc.record({ kind: fc.constant("network" as const), ticks }),
  fc.record({ kind: fc.constant("calls" as const), ticks }),
  fc.record({ kind: fc.constant("store" as const), ticks }),
  fc.record({
    kind: fc.constant("cut" as const),
    from: member,
    to: member,
    ticks,
  }),
  fc.record({ kind: fc.constant("pause" as const), member, ticks }),
  fc.record({
    kind: fc.constant("restartAgent" as const),
    member,
    oldGoesOn: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("stall" as const), member, ticks }),
  fc.record({ kind: fc.constant("restartEngine" as const), member }),
  fc.record({ kind: fc.constant("replace" as const), member }),
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("trap" as const),
      member,
      call: fc.constantFrom(...faultableCalls),
      act: fc.constantFrom(...callFaultActions),
      lossy: fc.boolean(),
    }),
  },
);

const history: fc.Arbitrary<History> = fc.record({
  seed: fc.nat(),
  steps: fc.array(fc.record({ fault, wait: fc.integer({ min: 0, max: 60 }) }), {
    minLength: 1,
    maxLength: 10,
  }),
});

function inject(simulation: GroupSimulation, fault: Fault): void {
  const name = (index: number): string => simulation.memberNames[index] ?? "";
  const until = (ticks: number): number =>
    simulation.now + ticks * TICK_INTERVAL_MS;
  switch (fault.kind) {
    case "propose":
      simulation.propose(name(fault.member), candidateMap(fault.map));
      return;
    case "network":
      simulation.lossUntil = until(fault.ticks);
      return;
    case "calls":
      simulation.slowCallsUntil = until(fault.ticks);
      return;
    case "store":
      simulation.storeDownUntil = until(fault.ticks);
      return;
    case "cut":
      simulation.cutLink(name(fault.from), name(fault.to), until(fault.ticks));
      return;
    case "pause":
      simulation.pauseAgent(name(fault.member), until(fault.ticks));
      return;
    case "restartAgent":
      simulation.restartAgent(name(fault.member), fault.oldGoesOn);
      return;
    case "stall":
      simulation.stallEngine(name(fault.member), until(fault.ticks));
      return;
    case "restartEngine":
      simulation.restartEngine(name(fault.member));
      return;
    case "replace":
      simulation.replaceMember(fault.member);
      return;
    case "trap":
      simulation.setCallFault({ ...fault, member: name(fault.member) });
      return;
  }
}

function mixedSteps(simulation: GroupSimulation): readonly string[] {
  const maps = new Map<string, string>();
  return simulation.steps.flatMap(({ group, step, member: name, mapHash }) => {
    const key = `${ballotKey(group)}/${step}`;
    const first = maps.get(key);
    if (first === undefined) maps.set(key, mapHash);
    const mixed = first !== undefined && first !== mapHash;
    return mixed ? [`${name} ran ${key} on ${mapHash}, others ${first}`] : [];
  });
}

/** Runs for a while and returns what hasn't recovered at the end. */
function recoveryFailures(simulation: GroupSimulation): readonly string[] {
  const before = simulation.engineStates().map(({ step }) => step);
  simulation.run(SETTLE_TICKS);
  const states = simulation.engineStates();
  return states.flatMap((state, index) => {
    const stepped = state.step - (before[index] ?? 0);
    const found: string[] = [];
    if (stepped < MINIMUM_RECOVERY_STEPS) {
      const text = JSON.stringify(state);
      found.push(`${state.engine} made ${stepped} steps: ${text}`);
    }
    if (state.armed !== null && !state.armed.committed) {
      const { id } = state.armed.proposal;
      found.push(`${state.engine} is undecided on ${ballotKey(id)}`);
    }
    if (state.version < simulation.committedVersion) {
      const committed = simulation.committedVersion;
      found.push(
        `${state.engine} is at version ${state.version}, below committed version ${committed}`,
      );
    }
    return found;
  });
}

function awaitRecovery(simulation: GroupSimulation): readonly string[] {
  let failures = recoveryFailures(simulation);
  for (let waited = 0; waited < RECOVERY_TICKS; waited += SETTLE_TICKS) {
    if (failures.length === 0) return failures;
    failures = recoveryFailures(simulation);
  }
  return failures;
}

/** Runs a history and returns the violations found. */
export function checkHistory(input: History, mutation?: string): string[] {
  const simulation = GroupSimulation.create({
    seed: input.seed,
    safeguards: {
      ...allSwitchSafeguards,
      mayGoForward: true,
      ...(mutation === undefined ? {} : { [mutation]: false }),
    },
    engineHolds: mutation !== "engineHolds",
  });
  simulation.run(START_TICKS);
  for (const { fault: next, wait } of input.steps) {
    inject(simulation, next);
    simulation.run(wait);
  }
  simulation.endFaults();
  const failures = awaitRecovery(simulation);
  return [...mixedSteps(simulation), ...simulation.violations, ...failures];
}

function run(settings: FuzzSettings): Promise<FuzzResult> {
  const { mutation } = settings;
  return Promise.resolve(
    runCheckedHistories(settings, {
      history,
      check: (input) => checkHistory(input, mutation),
      title: ({ seed }) => `seed ${seed}`,
    }),
  );
}

export const expertmapTarget: FuzzTarget = {
  name: "expertmap",
  mutations: {
    armBeforeYes: 500,
    silenceIsOpen: 500,
    refuseBeforeNo: 5_000,
    mayGoForward: 2_000,
    engineHolds: 500,
  },
  run,
};
