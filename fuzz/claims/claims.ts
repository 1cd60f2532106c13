/**
 * Fuzz target `claims`. Invariants: a key starts at most once; a key that was
 * answered with "not run" never starts; every call has an outcome; all readers
 * of the log derive the same state.
 */
import fc from "fast-check";
import { claimRules, coordinatorRules } from "../../src/internal.js";
import { runHistories } from "../run-histories.js";
import type { FuzzResult, FuzzSettings, FuzzTarget } from "../target.js";
import { NO_FAULTS } from "./log.js";
import {
  AGENTS,
  ClaimsSimulation,
  ENTRIES,
  type SimulationRules,
} from "./simulation.js";

const KEYS = 2;
const MAXIMUM_HISTORY_COMMANDS = 30;

export type ClaimsCommand =
  | { readonly kind: "call"; readonly entry: number; readonly key: number }
  | { readonly kind: "call-without-key"; readonly entry: number }
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "outage"; readonly isDown: boolean }
  | {
      readonly kind: "append-fault";
      readonly loseAnswer: boolean;
      readonly duplicate: boolean;
      readonly delayMs: number;
    }
  | { readonly kind: "delay-dispatch"; readonly ms: number }
  | { readonly kind: "pause"; readonly entry: number }
  | { readonly kind: "resume"; readonly entry: number }
  | { readonly kind: "restart-entry"; readonly entry: number }
  | { readonly kind: "restart-agent"; readonly agent: number }
  | {
      readonly kind: "change-agent";
      readonly agent: number;
      readonly isReachable: boolean;
      readonly isFull: boolean;
    }
  | { readonly kind: "trim" };

const entry = fc.nat({ max: ENTRIES - 1 });
const agent = fc.nat({ max: AGENTS - 1 });
const kind = <K extends ClaimsCommand["kind"]>(value: K): fc.Arbitrary<K> =>
  fc.constant(value);
const shortWaitMs = fc.constantFrom(0, 1, 2, 5, 20, 120, 600, 1_200, 2_500);
const longWaitMs = fc.constantFrom(120_000, 700_000, 4_000_000);

const command: fc.Arbitrary<ClaimsCommand> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: kind("call"),
      entry,
      key: fc.nat({ max: KEYS - 1 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("call-without-key"), entry }),
  },
  {
    weight: 8,
    arbitrary: fc.record({ kind: kind("advance"), ms: shortWaitMs }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("advance"), ms: longWaitMs }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("outage"), isDown: fc.boolean() }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: kind("append-fault"),
      loseAnswer: fc.boolean(),
      duplicate: fc.boolean(),
      delayMs: fc.constantFrom(0, 0, 30, 700, 3_000, 700_000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("delay-dispatch"), ms: shortWaitMs }),
  },
  { weight: 2, arbitrary: fc.record({ kind: kind("pause"), entry }) },
  { weight: 2, arbitrary: fc.record({ kind: kind("resume"), entry }) },
  { weight: 1, arbitrary: fc.record({ kind: kind("restart-entry"), entry }) },
  { weight: 1, arbitrary: fc.record({ kind: kind("restart-agent"), agent }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("change-agent"),
      agent,
      isReachable: fc.boolean(),
      isFull: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: kind("trim") }) },
);

function runCommand(
  simulation: ClaimsSimulation,
  keys: readonly string[],
  step: ClaimsCommand,
): void {
  switch (step.kind) {
    case "call":
      simulation.call(step.entry, keys[step.key]);
      return;
    case "call-without-key":
      simulation.call(step.entry, undefined);
      return;
    case "advance":
      simulation.time.advance(step.ms);
      return;
    case "outage":
      simulation.setOutage(step.isDown);
      return;
    case "append-fault": {
      const { loseAnswer, duplicate, delayMs } = step;
      simulation.log.nextAppend = {
        ...NO_FAULTS,
        loseAnswer,
        duplicate,
        delayMs,
      };
      return;
    }
    case "delay-dispatch":
      simulation.nextDispatchDelayMs = step.ms;
      return;
    case "pause":
      simulation.pauseEntry(step.entry);
      return;
    case "resume":
      simulation.resumeEntry(step.entry);
      return;
    case "restart-entry":
      simulation.restartEntry(step.entry);
      return;
    case "restart-agent":
      simulation.restartAgent(step.agent);
      return;
    case "change-agent": {
      const { isReachable, isFull } = step;
      simulation.changeAgent(step.agent, { isReachable, isFull });
      return;
    }
    case "trim":
      simulation.log.trim();
  }
}

/**
 * Checks that a repeat of each unstarted key makes progress once the faults are
 * over. Skipped when an agent restarted, records were trimmed or much time has
 * passed: the outcome may then legitimately stay unknown.
 */
function checkRepeats(
  simulation: ClaimsSimulation,
  keys: readonly string[],
  steps: readonly ClaimsCommand[],
): void {
  const stateLost = steps.some(
    ({ kind }) => kind === "restart-agent" || kind === "trim",
  );
  const waitedMs = steps.reduce(
    (sum, step) => sum + (step.kind === "advance" ? step.ms : 0),
    0,
  );
  if (stateLost || waitedMs > 100_000) return;
  for (const key of keys) {
    if (simulation.hasStarted(key)) continue;
    const index = simulation.calls.length;
    simulation.call(0, key);
    simulation.time.advance(6_000);
    const outcome = simulation.outcomeOf(index);
    if (simulation.hasStarted(key) || outcome === "1306") continue;
    simulation.violations.push(
      `a repeat of ${key} makes no progress: ${outcome}`,
    );
  }
}

/** Returns the violations of one history under the unmodified rules. */
export function replayClaims(
  steps: readonly ClaimsCommand[],
): readonly string[] {
  return runHistory(correctRules, steps);
}

function runHistory(
  rules: SimulationRules,
  steps: readonly ClaimsCommand[],
): readonly string[] {
  const simulation = ClaimsSimulation.create(rules);
  const keys = Array.from({ length: KEYS }, () => simulation.newId());
  for (const step of steps) runCommand(simulation, keys, step);
  simulation.endFaults();
  checkRepeats(simulation, keys, steps);
  simulation.check();
  return simulation.violations;
}

const correctRules: SimulationRules = {
  coordinator: coordinatorRules,
  attemptRegistry: (gate) => gate,
};

const withTableChange = (
  change: Partial<typeof claimRules>,
): SimulationRules => ({
  ...correctRules,
  coordinator: { ...coordinatorRules, table: { ...claimRules, ...change } },
});

const mutations: Readonly<Partial<Record<string, SimulationRules>>> = {
  "dispatch-before-reading": {
    ...correctRules,
    coordinator: { ...coordinatorRules, awaitsReadBack: false },
  },
  "release-without-proof": {
    ...correctRules,
    coordinator: { ...coordinatorRules, requiresReleaseProof: false },
  },
  "not-run-without-close": {
    ...correctRules,
    coordinator: { ...coordinatorRules, closesBeforeNotRun: false },
  },
  "second-claim-wins": withTableChange({ isNextGeneration: () => true }),
  "late-release-counts": withTableChange({ matchesClaim: () => true }),
  "trimmed-records-ignored": withTableChange({ isComplete: () => true }),
  "tombstone-not-kept": {
    ...correctRules,
    attemptRegistry: (gate) => ({
      find: (attempt, incarnation) => gate.find(attempt, incarnation),
      withdraw: () => true,
    }),
  },
  "agent-incarnation-unchecked": {
    ...correctRules,
    attemptRegistry: (gate, incarnation) => ({
      find: (attempt) => gate.find(attempt, incarnation),
      withdraw: (attempt, _meantFor, nowMs) =>
        gate.withdraw(attempt, incarnation, nowMs),
    }),
  },
};

const MUTATION_HISTORY_LIMIT = 2_000;

function run(settings: FuzzSettings): Promise<FuzzResult> {
  const { mutation } = settings;
  const rules = mutation === undefined ? correctRules : mutations[mutation];
  if (rules === undefined) throw new RangeError(`no mutation ${mutation}`);
  const history = fc.array(command, {
    maxLength: MAXIMUM_HISTORY_COMMANDS,
    size: "max",
  });
  return Promise.resolve(
    runHistories(settings, history, (steps) => runHistory(rules, steps)),
  );
}

export const claimsTarget: FuzzTarget = {
  name: "claims",
  mutations: Object.fromEntries(
    Object.keys(mutations).map((name) => [name, MUTATION_HISTORY_LIMIT]),
  ),
  run,
};
