import * as assert from "uvu/assert";
import {
  MOST_STEPS_AHEAD,
  STEPS_AHEAD,
} from "../../src/rankmaps/hold-steps.js";
import { SwitchPace } from "../../src/rankmaps/switch-pace.js";
import type { RankOrder, RankState } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";

const STEP_MS = 30;

const STATE: RankState = {
  group: "g",
  epoch: 1,
  rank: 0,
  size: 1,
  isOpen: true,
  step: 0,
  mapVersion: 0,
  preparedVersion: undefined,
  armed: undefined,
  heldStep: undefined,
  slowness: 1,
  startedAtMs: undefined,
};

/** A planner's group, and the time. */
class Group {
  readonly pace = SwitchPace.create();
  private nowMs = 0;

  constructor() {
    for (let step = 0; step < 50; step += 5) this.look(step, 5 * STEP_MS);
  }

  look(step: number, afterMs: number): void {
    this.nowMs += afterMs;
    this.pace.onLook([{ ...STATE, step }], this.nowMs);
  }

  /** A step is held, and let go so long after. */
  switchIn(tookMs: number): void {
    this.order({ kind: "hold", step: 60 });
    this.nowMs += tookMs;
    this.order({ kind: "release", step: 60 });
  }

  private order(order: RankOrder): void {
    this.pace.onOrders([{ rank: 0, order }], true, this.nowMs);
  }
}

describe("how far ahead a step is held", () => {
  it("is the least while switches are quick", () => {
    const group = new Group();
    const { pace } = group;
    assert.is(pace.stepsAhead, STEPS_AHEAD);
    group.switchIn(70);
    assert.is(pace.stepsAhead, STEPS_AHEAD);
  });

  it("covers a switch that took long", () => {
    // Streams: a pause of 150 ms with every switch. An order got no answer, was
    // sent again 120 ms later, and the group waited at the held step.
    const group = new Group();
    const { pace } = group;
    group.switchIn(190);
    assert.ok((pace.stepsAhead - 1) * STEP_MS >= 190);
  });

  it("falls back when switches are quick again", () => {
    const group = new Group();
    const { pace } = group;
    group.switchIn(400);
    for (let turn = 0; turn < 12; turn += 1) group.switchIn(70);
    assert.is(pace.stepsAhead, STEPS_AHEAD);
  });

  it("is bounded, whatever a frozen VM made of a switch", () => {
    const group = new Group();
    const { pace } = group;
    group.switchIn(4000);
    assert.is(pace.stepsAhead, MOST_STEPS_AHEAD);
  });

  it("takes an idle group or a new epoch for no step time", () => {
    const group = new Group();
    const { pace } = group;
    group.look(45, 60_000);
    group.look(3, 1000);
    group.switchIn(70);
    assert.is(pace.stepsAhead, STEPS_AHEAD);
  });
});
