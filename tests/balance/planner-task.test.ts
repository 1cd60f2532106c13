import * as assert from "uvu/assert";
import {
  ApricotdeckError,
  checkMap,
  createEvenMap,
  ignoreEvents,
  PlannerThread,
  runPlannerTask,
  type EventNumber,
  type MovePlan,
  type PlannerWindow,
} from "../../src/internal.js";
import { reportsOf } from "../../measure/skew-run.js";
import { generateTrace } from "../../measure/traces.js";
import { describe, it } from "../support/describe.js";

const SHAPE = { ranks: 4, layers: 2, experts: 16, slotsPerRank: 5 };
const WINDOWS = 8;

function windows(): readonly PlannerWindow[] {
  const map = createEvenMap(SHAPE);
  const trace = generateTrace("steady", SHAPE, WINDOWS, 1)?.windows ?? [];
  return trace.map((window, index) => ({
    map,
    reports: reportsOf(map, window, index),
    switchPending: false,
    costs: {
      bytesPerExpert: 1e6,
      storeBytesPerSecond: 1e9,
      switchSeconds: 0.01,
      stagingExpertsPerRank: 16,
    },
    skewWeight: 0.9,
  }));
}

describe("the planner thread", () => {
  it("proposes a better map after enough windows, and emits the reason", async () => {
    const events: EventNumber[] = [];
    await using planner = PlannerThread.create({ shape: SHAPE }, (number) => {
      events.push(number);
    });
    const remaining = [...windows()];
    const proposed: MovePlan[] = [];
    await runPlannerTask({
      planner,
      nextWindow: () => Promise.resolve(remaining.shift()),
      proposeMap: (plan) => {
        proposed.push(plan);
        return Promise.resolve();
      },
    });
    assert.ok(proposed.length > 0);
    const [{ map, predicted }] = proposed;
    assert.ok(checkMap(map).isRight());
    assert.ok(predicted.skewAfter < predicted.skewBefore);
    assert.is(events.length, WINDOWS);
    assert.is(events[0], 182);
    assert.ok(events.includes(181));
  });

  it("rejects pending and later decisions once it has ended", async () => {
    // The thread can die, for instance out of memory. A task waiting forever
    // for its plan would leave the group unbalanced until the next restart;
    // after a failure the task is restarted with a new thread.
    const planner = PlannerThread.create({ shape: SHAPE }, ignoreEvents);
    const [window] = windows();
    const pending = planner.decide(window).catch((error: unknown) => error);
    await planner[Symbol.asyncDispose]();
    const [before, after] = [
      await pending,
      await planner.decide(window).catch((error: unknown) => error),
    ];
    assert.is(before instanceof ApricotdeckError && before.number, 1805);
    assert.is(after instanceof ApricotdeckError && after.number, 1805);
  });
});
