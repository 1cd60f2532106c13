import * as assert from "uvu/assert";
import { isStalled } from "../../src/direct/stall.js";
import { describe, it } from "../support/describe.js";

describe("stall detection", () => {
  it("reports a silent stream while others of its service progress", () => {
    assert.ok(isStalled(10_000, 8900, 9900));
  });

  it("doesn't report a stream with an event within the last second", () => {
    assert.not.ok(isStalled(10_000, 9100, 9990));
  });

  it("doesn't report streams while the whole group pauses", () => {
    // A rank is gone and all streams of its group pause. Moving them brings no
    // event sooner and uses up the retries of a minute.
    assert.not.ok(isStalled(10_000, 8500, 8500));
  });
});
