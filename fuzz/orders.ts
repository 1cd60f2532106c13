/**
 * Fuzz target `orders`: lease holders send orders to one engine.
 *
 * The oracle is the list of effects in the engine: no order takes effect after
 * a newer one was confirmed, no two holders act at the same time, and an order
 * is confirmed once there are no more faults.
 */
import fc from "fast-check";
import { allOrderSafeguards } from "../src/internal.js";
import { OrdersSimulation, TICK_INTERVAL_MS } from "./orders-simulation.js";
import { runCheckedHistories } from "./run-checked-histories.js";
import type { FuzzResult, FuzzSettings, FuzzTarget } from "./target.js";

type Command =
  | {
      readonly kind: "order";
      readonly value: string;
      readonly delayTicks: number;
    }
  | { readonly kind: "pause"; readonly holder: number; readonly ticks: number }
  | { readonly kind: "log"; readonly ticks: number }
  | { readonly kind: "slow"; readonly reader: number; readonly ticks: number }
  | { readonly kind: "trap"; readonly act: "lost" | "restartAgent" }
  | { readonly kind: "restartAgent" };

interface Step {
  readonly command: Command;
  readonly waitTicks: number;
}

export interface OrdersHistory {
  readonly seed: number;
  readonly checksFencing: boolean;
  readonly steps: readonly Step[];
}

const START_TICKS = 20;
const RECOVERY_TICKS = 250;

const ticks = fc.integer({ min: 1, max: 150 });
const delayTicks = fc.oneof(fc.constant(1), fc.integer({ min: 1, max: 200 }));

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("order" as const),
      value: fc.constantFrom("x", "y", "z"),
      delayTicks,
    }),
  },
  fc.record({
    kind: fc.constant("pause" as const),
    holder: fc.nat({ max: 1 }),
    ticks,
  }),
  fc.record({ kind: fc.constant("log" as const), ticks }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("slow" as const),
      reader: fc.nat({ max: 1 }),
      ticks,
    }),
  },
  fc.record({
    kind: fc.constant("trap" as const),
    act: fc.constantFrom("lost" as const, "restartAgent" as const),
  }),
  fc.record({ kind: fc.constant("restartAgent" as const) }),
);

const history: fc.Arbitrary<OrdersHistory> = fc.record({
  seed: fc.nat(),
  checksFencing: fc.boolean(),
  steps: fc.array(
    fc.record({ command, waitTicks: fc.integer({ min: 0, max: 60 }) }),
    { minLength: 1, maxLength: 12 },
  ),
});

function applyCommand(simulation: OrdersSimulation, next: Command): void {
  const until = (count: number): number =>
    simulation.now + count * TICK_INTERVAL_MS;
  switch (next.kind) {
    case "order":
      simulation.order(next.value, next.delayTicks);
      return;
    case "pause":
      simulation.pause(next.holder, until(next.ticks));
      return;
    case "log":
      simulation.logDownUntil = until(next.ticks);
      return;
    case "slow":
      simulation.slowUntil = until(next.ticks);
      simulation.laggingReader = next.reader;
      return;
    case "trap":
      simulation.callFault = next.act;
      return;
    case "restartAgent":
      simulation.restartAgent();
      return;
  }
}

/** Runs a history; returns the violations. */
export function checkOrders(
  { seed, checksFencing, steps }: OrdersHistory,
  mutation?: string,
): string[] {
  const simulation = OrdersSimulation.create({
    seed,
    checksFencing,
    engineChecks: mutation !== "engineChecks",
    countsFromSending: mutation !== "countsFromSending",
    safeguards: {
      ...allOrderSafeguards,
      ...(mutation === undefined ? {} : { [mutation]: false }),
    },
  });
  simulation.run(START_TICKS);
  for (const { command: next, waitTicks } of steps) {
    applyCommand(simulation, next);
    simulation.run(waitTicks);
  }
  simulation.endFaults();
  simulation.run(RECOVERY_TICKS);
  const before = simulation.confirmations;
  simulation.order("last", 1);
  simulation.run(RECOVERY_TICKS);
  const isStuck = simulation.confirmations === before;
  return [
    ...simulation.violations,
    ...(isStuck ? ["no order is confirmed after the faults ended"] : []),
  ];
}

function run(settings: FuzzSettings): Promise<FuzzResult> {
  const { mutation } = settings;
  return Promise.resolve(
    runCheckedHistories(settings, {
      history,
      check: (input) => checkOrders(input, mutation),
      title: ({ seed, checksFencing }) =>
        `seed ${seed}, checksFencing ${String(checksFencing)}`,
    }),
  );
}

export const ordersTarget: FuzzTarget = {
  name: "orders",
  mutations: {
    waitsOut: 2_000,
    comparesFencing: 2_000,
    learnsFromLog: 5_000,
    engineChecks: 1_000,
    countsFromSending: 1_000,
  },
  run,
};
