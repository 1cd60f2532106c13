import * as assert from "uvu/assert";
import { orderOfLives } from "../../src/membership/life.js";
import { describe, it } from "../support/describe.js";

describe("incarnations of a backend server", () => {
  it("are ordered by their start time", () => {
    assert.is(orderOfLives(1000, 2000), "later");
    assert.is(orderOfLives(2000, 1000), "earlier");
    assert.is(orderOfLives(1000, 1000), "same");
  });

  it("count as the same if a start time is unknown", () => {
    assert.is(orderOfLives(undefined, 1000), "same");
    assert.is(orderOfLives(1000, undefined), "same");
    assert.is(orderOfLives(undefined, undefined), "same");
  });
});
