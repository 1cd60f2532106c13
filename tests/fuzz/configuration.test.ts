import * as assert from "uvu/assert";
import { configurationTarget } from "../../fuzz/configuration/configuration.js";
import { describe, it } from "../support/describe.js";

describe("fuzz target configuration", () => {
  it("finds no violation with a fixed seed", async () => {
    const result = await configurationTarget.run({ seed: 20, runs: 300 });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, 300);
  });

  const { mutations } = configurationTarget;
  for (const [mutation, limit] of Object.entries(mutations)) {
    it(`detects mutation ${mutation} within ${limit} histories`, async () => {
      const settings = { seed: 1, runs: limit, mutation };
      const result = await configurationTarget.run(settings);
      assert.is(result.violations, 1);
    });
  }
});
