import * as assert from "uvu/assert";
import {
  MOST_STEPS_AHEAD,
  STEPS_AHEAD,
} from "../../src/rankmaps/hold-steps.js";
import { SwitchPace } from "../../src/rankmaps/switch-pace.js";
import { describe, it } from "../support/describe.js";

const STEP_MS = 30;

function steady(): SwitchPace {
  const pace = SwitchPace.create();
  for (let step = 0; step < 50; step += 5) pace.onLook(step, step * STEP_MS);
  return pace;
}

describe("how far ahead a step is held", () => {
  it("is the least while switches are quick", () => {
    const pace = steady();
    assert.is(pace.stepsAhead, STEPS_AHEAD);
    pace.onSwitch(70);
    assert.is(pace.stepsAhead, STEPS_AHEAD);
  });

  it("covers a switch that took long", () => {
    // Streams: a pause of 150 ms with every switch. An order got no answer, was
    // sent again 120 ms later, and the group waited at the held step.
    const pace = steady();
    pace.onSwitch(190);
    assert.ok((pace.stepsAhead - 1) * STEP_MS >= 190);
  });

  it("falls back when switches are quick again", () => {
    const pace = steady();
    pace.onSwitch(400);
    for (let turn = 0; turn < 12; turn += 1) pace.onSwitch(70);
    assert.is(pace.stepsAhead, STEPS_AHEAD);
  });

  it("is bounded, whatever a frozen VM made of a switch", () => {
    const pace = steady();
    pace.onSwitch(4000);
    assert.is(pace.stepsAhead, MOST_STEPS_AHEAD);
  });

  it("takes an idle group or a new epoch for no step time", () => {
    const pace = steady();
    pace.onLook(45, 60_000);
    pace.onLook(3, 61_000);
    pace.onSwitch(70);
    assert.is(pace.stepsAhead, STEPS_AHEAD);
  });
});
