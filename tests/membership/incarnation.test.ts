import * as assert from "uvu/assert";
import { compareIncarnations } from "../../src/membership/incarnation.js";
import { describe, it } from "../support/describe.js";

describe("incarnations of a backend server", () => {
  it("are ordered by their start time", () => {
    assert.is(compareIncarnations(1000, 2000), "later");
    assert.is(compareIncarnations(2000, 1000), "earlier");
    assert.is(compareIncarnations(1000, 1000), "same");
  });

  it("count as the same if a start time is unknown", () => {
    assert.is(compareIncarnations(undefined, 1000), "same");
    assert.is(compareIncarnations(1000, undefined), "same");
    assert.is(compareIncarnations(undefined, undefined), "same");
  });
});
