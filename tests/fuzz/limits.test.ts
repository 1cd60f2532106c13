import * as assert from "uvu/assert";
import { limitsTarget } from "../../fuzz/limits/limits.js";
import { describe, it } from "../support/describe.js";

const RUNS = 150;

describe("fuzz target limits", () => {
  it("finds no violation with a fixed seed", async () => {
    const result = await limitsTarget.run({ seed: 5, runs: RUNS });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, RUNS);
  });
});
