import * as assert from "uvu/assert";
import { orderOfLives } from "../../src/membership/life.js";
import { describe, it } from "../support/describe.js";

describe("lives of a backend server", () => {
  it("are ordered by their start", () => {
    assert.is(orderOfLives(1000, 2000), "later");
    assert.is(orderOfLives(2000, 1000), "earlier");
    assert.is(orderOfLives(1000, 1000), "same");
  });

  it("count as one where a start isn't told", () => {
    assert.is(orderOfLives(undefined, 1000), "same");
    assert.is(orderOfLives(1000, undefined), "same");
    assert.is(orderOfLives(undefined, undefined), "same");
  });
});
