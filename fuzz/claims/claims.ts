/**
 * Fuzz target `claims`: at most one start for a key, no "not run" for a key
 * that ever starts, one outcome for every call, all readers alike.
 */
import fc from "fast-check";
import { claimRules, coordinatorRules } from "../../src/internal.js";
import { runHistories } from "../run-property.js";
import type { FuzzResult, FuzzSettings, FuzzTarget } from "../target.js";
import { NO_FAULTS } from "./log.js";
import { AGENTS, ClaimsWorld, ENTRIES, type WorldRules } from "./world.js";

const KEYS = 2;
const LONGEST_HISTORY = 30;

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
const shortWait = fc.constantFrom(0, 1, 2, 5, 20, 120, 600, 1_200, 2_500);
const longWait = fc.constantFrom(120_000, 700_000, 4_000_000);

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
    arbitrary: fc.record({ kind: kind("advance"), ms: shortWait }),
  },
  { weight: 1, arbitrary: fc.record({ kind: kind("advance"), ms: longWait }) },
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
    arbitrary: fc.record({ kind: kind("delay-dispatch"), ms: shortWait }),
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
  world: ClaimsWorld,
  keys: readonly string[],
  step: ClaimsCommand,
): void {
  switch (step.kind) {
    case "call":
      world.call(step.entry, keys[step.key]);
      return;
    case "call-without-key":
      world.call(step.entry, undefined);
      return;
    case "advance":
      world.time.advance(step.ms);
      return;
    case "outage":
      world.setOutage(step.isDown);
      return;
    case "append-fault": {
      const { loseAnswer, duplicate, delayMs } = step;
      world.log.nextAppend = { ...NO_FAULTS, loseAnswer, duplicate, delayMs };
      return;
    }
    case "delay-dispatch":
      world.nextDispatchDelayMs = step.ms;
      return;
    case "pause":
      world.pauseEntry(step.entry);
      return;
    case "resume":
      world.resumeEntry(step.entry);
      return;
    case "restart-entry":
      world.restartEntry(step.entry);
      return;
    case "restart-agent":
      world.restartAgent(step.agent);
      return;
    case "change-agent": {
      const { isReachable, isFull } = step;
      world.changeAgent(step.agent, { isReachable, isFull });
      return;
    }
    case "trim":
      world.log.trim();
  }
}

/** What still has to be possible once the faults are over. */
function checkRepeats(
  world: ClaimsWorld,
  keys: readonly string[],
  steps: readonly ClaimsCommand[],
): void {
  const lost = steps.some(
    ({ kind }) => kind === "restart-agent" || kind === "trim",
  );
  const waitedMs = steps.reduce(
    (sum, step) => sum + (step.kind === "advance" ? step.ms : 0),
    0,
  );
  if (lost || waitedMs > 100_000) return;
  for (const key of keys) {
    if (world.hasStarted(key)) continue;
    const index = world.calls.length;
    world.call(0, key);
    world.time.advance(6_000);
    const outcome = world.outcomeOf(index);
    if (world.hasStarted(key) || outcome === "1306") continue;
    world.violations.push(`a repeat of ${key} can't go on: ${outcome}`);
  }
}

/** The violations of one history under the real rules. */
export function replayClaims(
  steps: readonly ClaimsCommand[],
): readonly string[] {
  return runHistory(sound, steps);
}

function runHistory(
  rules: WorldRules,
  steps: readonly ClaimsCommand[],
): readonly string[] {
  const world = ClaimsWorld.create(rules);
  const keys = Array.from({ length: KEYS }, () => world.newId());
  for (const step of steps) runCommand(world, keys, step);
  world.calmDown();
  checkRepeats(world, keys, steps);
  world.check();
  return world.violations;
}

const sound: WorldRules = {
  coordinator: coordinatorRules,
  keeper: (gate) => gate,
};

const withTable = (change: Partial<typeof claimRules>): WorldRules => ({
  ...sound,
  coordinator: { ...coordinatorRules, table: { ...claimRules, ...change } },
});

const mutants: Readonly<Partial<Record<string, WorldRules>>> = {
  "dispatch-before-reading": {
    ...sound,
    coordinator: { ...coordinatorRules, awaitsReading: false },
  },
  "release-without-proof": {
    ...sound,
    coordinator: { ...coordinatorRules, wantsProof: false },
  },
  "not-run-without-close": {
    ...sound,
    coordinator: { ...coordinatorRules, refusesTruthfully: false },
  },
  "second-claim-wins": withTable({ isNextGeneration: () => true }),
  "late-release-counts": withTable({ fits: () => true }),
  "trimmed-records-ignored": withTable({ isComplete: () => true }),
  "tombstone-not-kept": {
    ...sound,
    keeper: (gate) => ({
      find: (attempt, incarnation) => gate.find(attempt, incarnation),
      withdraw: () => true,
    }),
  },
  "agent-incarnation-unchecked": {
    ...sound,
    keeper: (gate, incarnation) => ({
      find: (attempt) => gate.find(attempt, incarnation),
      withdraw: (attempt, _meantFor, nowMs) =>
        gate.withdraw(attempt, incarnation, nowMs),
    }),
  },
};

const MUTATION_LIMIT = 2_000;

function run(settings: FuzzSettings): Promise<FuzzResult> {
  const { mutation } = settings;
  const rules = mutation === undefined ? sound : mutants[mutation];
  if (rules === undefined) throw new RangeError(`no mutation ${mutation}`);
  const history = fc.array(command, {
    maxLength: LONGEST_HISTORY,
    size: "max",
  });
  return Promise.resolve(
    runHistories(settings, history, (steps) => runHistory(rules, steps)),
  );
}

export const claimsTarget: FuzzTarget = {
  name: "claims",
  mutations: Object.fromEntries(
    Object.keys(mutants).map((name) => [name, MUTATION_LIMIT]),
  ),
  run,
};
