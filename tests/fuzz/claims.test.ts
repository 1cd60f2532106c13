import * as assert from "uvu/assert";
import { claimsTarget } from "../../fuzz/claims/claims.js";
import { describe, it } from "../support/describe.js";

describe("fuzz target claims", () => {
  it("finds nothing at a fixed seed", async () => {
    const result = await claimsTarget.run({ seed: 20, runs: 300 });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, 300);
  });

  for (const [mutation, limit] of Object.entries(claimsTarget.mutations)) {
    it(`catches ${mutation} within ${limit} histories`, async () => {
      const result = await claimsTarget.run({ seed: 1, runs: limit, mutation });
      assert.is(result.violations, 1);
    });
  }
});
