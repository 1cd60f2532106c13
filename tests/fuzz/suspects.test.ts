import * as assert from "uvu/assert";
import { checkSuspects, suspectsTarget } from "../../fuzz/suspects/suspects.js";
import { describe, it } from "../support/describe.js";

const RUNS = 2000;

describe("fuzz target suspects", () => {
  it("finds no violation with a fixed seed", async () => {
    const result = await suspectsTarget.run({ seed: 11, runs: RUNS });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, RUNS);
  });

  for (const [mutation, runs] of Object.entries(suspectsTarget.mutations)) {
    it(`detects mutation ${mutation} within ${runs} histories`, async () => {
      const result = await suspectsTarget.run({ seed: 1, runs, mutation });
      assert.is(result.violations, 1);
    });
  }

  describe("regressions", () => {
    it("keeps a completion that is read before the crash", () => {
      // A starting entry reads the record of a request's completion before that
      // of its crash. If it ignored the completion because the request isn't a
      // suspect yet, it would withhold a request that all other entries run.
      const steps = [
        {
          kind: "crash",
          digest: "a",
          runner: 0,
          runMs: 1,
          entries: [0],
        },
        { kind: "wait", durationMs: 10 },
        { kind: "share", from: 0, to: 1 },
        { kind: "end", entry: 1, digest: "a" },
        { kind: "share", from: 1, to: 2 },
        { kind: "share", from: 0, to: 2 },
      ] as const;
      assert.equal(checkSuspects({ steps }), []);
    });
  });
});
