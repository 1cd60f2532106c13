import * as assert from "uvu/assert";
import { claimsTarget, replayClaims } from "../../fuzz/claims/claims.js";
import { describe, it } from "../support/describe.js";

describe("fuzz target claims", () => {
  it("finds nothing at a fixed seed", async () => {
    const result = await claimsTarget.run({ seed: 20, runs: 300 });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, 300);
  });

  // Seed 11, history 60861. A caller sends its call to entry 0, which is paused
  // while its dispatch is late, and repeats it at entry 1, which rules the late
  // attempt out and runs the call. Entry 0 wakes when the log has dropped all of
  // this, closes the key by what it last knew and told its caller "not run".
  it("says not run only of a key whose records were all read", () => {
    const violations = replayClaims([
      { kind: "call", entry: 0, key: 1 },
      { kind: "delay-dispatch", ms: 1200 },
      { kind: "advance", ms: 20 },
      { kind: "call", entry: 1, key: 1 },
      { kind: "pause", entry: 0 },
      { kind: "advance", ms: 4_000_000 },
      { kind: "trim" },
    ]);
    assert.equal(violations, []);
  });

  for (const [mutation, limit] of Object.entries(claimsTarget.mutations)) {
    it(`catches ${mutation} within ${limit} histories`, async () => {
      const result = await claimsTarget.run({ seed: 1, runs: limit, mutation });
      assert.is(result.violations, 1);
    });
  }
});
