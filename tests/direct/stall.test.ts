import * as assert from "uvu/assert";
import { isStalled } from "../../src/direct/stall.js";
import { describe, it } from "../support/describe.js";

describe("stalled stream", () => {
  it("is one that is silent while others of its service go on", () => {
    assert.ok(isStalled(10_000, 8900, 9900));
  });

  it("is none that had an event within the last second", () => {
    assert.not.ok(isStalled(10_000, 9100, 9990));
  });

  it("is none when the whole group stands still", () => {
    // A rank is gone and all streams of its group pause. Moving them would
    // bring nobody an event sooner and spend the repeats of a minute.
    assert.not.ok(isStalled(10_000, 8500, 8500));
  });
});
