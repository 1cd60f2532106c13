/**
 * Fuzz target `limits`: entries that share a runner's limit start, restart,
 * lose the store and come back in any order. The oracle counts what the runner
 * receives from entries that know of its limit, and in every second what cold
 * runners receive from all.
 */
import fc from "fast-check";
import { runHistories } from "../run-histories.js";
import type { FuzzTarget } from "../target.js";
import { ColdSimulation } from "./cold-simulation.js";
import {
  SETTLING_MS,
  allowedInWindow,
  allowedWhileCold,
  mostInWindow,
} from "./oracle.js";
import {
  LimitSimulation,
  type Arrival,
  type EntryState,
} from "./simulation.js";

/** Time after which an answer that names the limit binds its entry, ms. */
const TOLD_MS = 500;

const MAXIMUM_ENTRIES = 34;
const MAXIMUM_STEPS = 12;
const MAXIMUM_WAIT_MS = 5000;
const MS_PER_SECOND = 1000;
/** Rate of a cold runner relative to the drawn limit. */
const COLD_RATE_FACTOR = 2;
/** More than all cold runners may get together, requests/s. */
const DEMAND_WHILE_COLD = 400;

type Command =
  | { readonly kind: "restart" | "cut" | "connect"; readonly entry: number }
  | { readonly kind: "store"; readonly isAvailable: boolean }
  | { readonly kind: "join" }
  | { readonly kind: "wait"; readonly durationMs: number };

/** What both simulations do with a step other than a wait. */
type SteppedSimulation = Pick<
  ColdSimulation,
  "restart" | "setCut" | "setStoreAvailable" | "addEntry"
>;

export interface LimitHistory {
  readonly seed: number;
  readonly entries: number;
  readonly requestsPerSecond: number;
  readonly steps: readonly Command[];
}

/** Returns what was broken. */
export function checkLimits(history: LimitHistory): readonly string[] {
  const { seed, entries, requestsPerSecond, steps } = history;
  const simulation = LimitSimulation.create(seed, entries);
  simulation.advance(MS_PER_SECOND);
  simulation.nameLimit(requestsPerSecond);
  const namedAtMs = simulation.nowMs;
  const bound: Arrival[] = [];
  let counted = 0;
  const collect = (): void => {
    const recent = simulation.arrivals.slice(counted);
    counted = simulation.arrivals.length;
    bound.push(
      ...recent.filter(({ atMs, entry }) =>
        isBound(simulation.entries[entry], atMs),
      ),
    );
  };
  for (const step of [...steps, { kind: "wait", durationMs: 6000 } as const]) {
    if (step.kind === "wait") simulation.advance(step.durationMs);
    collect();
    apply(simulation, simulation.entries.length, step);
  }
  const settled = bound.filter(({ atMs }) => atMs >= namedAtMs + SETTLING_MS);
  const most = mostInWindow(settled.map(({ atMs }) => atMs));
  const allowed = allowedInWindow(requestsPerSecond);
  return most > allowed ? [`${most} requests, allowed ${allowed}`] : [];
}

/** Returns what was broken while runners are cold from their start. */
export function checkCold(history: LimitHistory): readonly string[] {
  const { seed, entries, requestsPerSecond, steps } = history;
  const coldRate = requestsPerSecond * COLD_RATE_FACTOR;
  const simulation = ColdSimulation.create({
    seed,
    entries,
    runners: 3,
    coldRate,
    demand: DEMAND_WHILE_COLD,
  });
  simulation.advance(SETTLING_MS);
  simulation.returnCold();
  for (const step of [...steps, { kind: "wait", durationMs: 3000 } as const]) {
    if (step.kind === "wait") simulation.advance(step.durationMs);
    apply(simulation, simulation.entryCount, step);
  }
  const { mostInSecond } = simulation;
  const allowed = allowedWhileCold(coldRate);
  if (mostInSecond <= allowed) return [];
  return [`cold: ${mostInSecond} requests in a second, allowed ${allowed}`];
}

function isBound(
  { toldAtMs, disturbedAtMs }: EntryState,
  atMs: number,
): boolean {
  return atMs >= toldAtMs + TOLD_MS && atMs >= disturbedAtMs + SETTLING_MS;
}

function apply(
  simulation: SteppedSimulation,
  entryCount: number,
  step: Command,
): void {
  const indexOf = (entry: number): number => entry % entryCount;
  switch (step.kind) {
    case "restart":
      simulation.restart(indexOf(step.entry));
      return;
    case "cut":
      simulation.setCut(indexOf(step.entry), true);
      return;
    case "connect":
      simulation.setCut(indexOf(step.entry), false);
      return;
    case "store":
      simulation.setStoreAvailable(step.isAvailable);
      return;
    case "join":
      simulation.addEntry();
      return;
    case "wait":
      return;
  }
}

const entry = fc.nat({ max: MAXIMUM_ENTRIES });

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "restart" as const,
        "cut" as const,
        "connect" as const,
      ),
      entry,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      isAvailable: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "join" as const }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      durationMs: fc.integer({ min: 1, max: MAXIMUM_WAIT_MS }),
    }),
  },
);

const history: fc.Arbitrary<LimitHistory[]> = fc
  .record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    entries: fc.constantFrom(1, 2, 5, 12, MAXIMUM_ENTRIES),
    requestsPerSecond: fc.constantFrom(0.2, 1, 3, 12.5),
    steps: fc.array(command, { maxLength: MAXIMUM_STEPS }),
  })
  .map((one) => [one]);

export const limitsTarget: FuzzTarget = {
  name: "limits",
  mutations: {},
  run: (settings) =>
    Promise.resolve(
      runHistories(settings, history, (histories) =>
        histories.flatMap((one) => [...checkLimits(one), ...checkCold(one)]),
      ),
    ),
};
