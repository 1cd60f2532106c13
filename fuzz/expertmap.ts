/**
 * Fuzz target `expertmap`: one group under faults.
 *
 * Oracle: the engines' own record of steps. All ranks of an incarnation used
 * one map in every step; the version never falls behind a committed one; and
 * once faults stop, every rank steps on with nothing left undecided.
 */
import fc from "fast-check";
import { allSwitchSafeguards, ballotKey } from "../src/internal.js";
import { candidateMap, TICK_MS, World, type Trap } from "./expertmap-world.js";
import { runJudged } from "./run-judged.js";
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
      readonly call: Trap["call"];
      readonly act: Trap["act"];
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

/** The group forms within this time when nothing goes wrong. */
const START_TICKS = 120;
/** Once faults stop, the group must step on within this time. */
const RECOVERY_TICKS = 800;
const SETTLE_TICKS = 50;
const MUST_STEP = 10;

const member = fc.nat({ max: 2 });
const ticks = fc.integer({ min: 1, max: 120 });

const trapCalls: readonly Trap["call"][] = [
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
const trapActs: readonly Trap["act"][] = [
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
      call: fc.constantFrom(...trapCalls),
      act: fc.constantFrom(...trapActs),
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

function inject(world: World, fault: Fault): void {
  const name = (index: number): string => world.memberNames[index] ?? "";
  const until = (ticks: number): number => world.now + ticks * TICK_MS;
  switch (fault.kind) {
    case "propose":
      world.propose(name(fault.member), candidateMap(fault.map));
      return;
    case "network":
      world.lossUntil = until(fault.ticks);
      return;
    case "calls":
      world.slowCallsUntil = until(fault.ticks);
      return;
    case "store":
      world.storeDownUntil = until(fault.ticks);
      return;
    case "cut":
      world.cutLink(name(fault.from), name(fault.to), until(fault.ticks));
      return;
    case "pause":
      world.pauseAgent(name(fault.member), until(fault.ticks));
      return;
    case "restartAgent":
      world.restartAgent(name(fault.member), fault.oldGoesOn);
      return;
    case "stall":
      world.stallEngine(name(fault.member), until(fault.ticks));
      return;
    case "restartEngine":
      world.restartEngine(name(fault.member));
      return;
    case "replace":
      world.replaceMember(fault.member);
      return;
    case "trap":
      world.setTrap({ ...fault, member: name(fault.member) });
      return;
  }
}

function mixedSteps(world: World): readonly string[] {
  const maps = new Map<string, string>();
  return world.steps.flatMap(({ group, step, member: rank, mapHash }) => {
    const key = `${ballotKey(group)}/${step}`;
    const first = maps.get(key);
    if (first === undefined) maps.set(key, mapHash);
    const mixed = first !== undefined && first !== mapHash;
    return mixed ? [`${rank} ran ${key} on ${mapHash}, others ${first}`] : [];
  });
}

/** Runs on for a while; tells what isn't as it must be at its end. */
function recoveryFailures(world: World): readonly string[] {
  const before = world.engineStates().map(({ step }) => step);
  world.run(SETTLE_TICKS);
  const states = world.engineStates();
  return states.flatMap((state, index) => {
    const stepped = state.step - (before[index] ?? 0);
    const found: string[] = [];
    if (stepped < MUST_STEP) {
      const text = JSON.stringify(state);
      found.push(`${state.engine} made ${stepped} steps: ${text}`);
    }
    if (state.armed !== null && !state.armed.committed) {
      const { id } = state.armed.proposal;
      found.push(`${state.engine} is undecided on ${ballotKey(id)}`);
    }
    if (state.version < world.committedVersion) {
      const lost = world.committedVersion;
      found.push(`${state.engine} is at ${state.version}, ${lost} is lost`);
    }
    return found;
  });
}

function awaitRecovery(world: World): readonly string[] {
  let failures = recoveryFailures(world);
  for (let waited = 0; waited < RECOVERY_TICKS; waited += SETTLE_TICKS) {
    if (failures.length === 0) return failures;
    failures = recoveryFailures(world);
  }
  return failures;
}

/** Plays a history; returns what the oracle found. */
export function judge(input: History, mutation?: string): string[] {
  const world = World.create({
    seed: input.seed,
    safeguards: {
      ...allSwitchSafeguards,
      mayGoForward: true,
      ...(mutation === undefined ? {} : { [mutation]: false }),
    },
    engineHolds: mutation !== "engineHolds",
  });
  world.run(START_TICKS);
  for (const { fault: next, wait } of input.steps) {
    inject(world, next);
    world.run(wait);
  }
  world.endFaults();
  const failures = awaitRecovery(world);
  return [...mixedSteps(world), ...world.violations, ...failures];
}

function run(settings: FuzzSettings): Promise<FuzzResult> {
  const { mutation } = settings;
  return Promise.resolve(
    runJudged(settings, {
      history,
      judge: (input) => judge(input, mutation),
      title: ({ seed }) => `seed ${seed}`,
    }),
  );
}

export const expertmap: FuzzTarget = {
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
