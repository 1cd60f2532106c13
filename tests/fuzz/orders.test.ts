import * as assert from "uvu/assert";
import { judgeOrders, orders } from "../../fuzz/orders.js";
import { describe, it } from "../support/describe.js";

const CLEAN_RUNS = 500;

describe("orders to engines under random faults", () => {
  it("let no old order undo a confirmed one", async () => {
    const result = await orders.run({ seed: 1, runs: CLEAN_RUNS });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, CLEAN_RUNS);
  });

  describe("with a safeguard switched off", () => {
    for (const [mutation, runs] of Object.entries(orders.mutations)) {
      it(`notices the loss of ${mutation}`, async () => {
        const result = await orders.run({ seed: 1, runs, mutation });
        assert.is(result.violations, 1);
      });
    }
  });

  describe("histories that failed once", () => {
    // Two processes give orders at once. One reads the log with a lag, takes
    // the holder's renewals that it hasn't read yet for silence, and acquires
    // a lease that is still being renewed.
    it("gives no lease to a process that lags behind the renewals", () => {
      const steps = [
        { command: { kind: "slow", reader: 1, ticks: 43 }, wait: 42 },
        { command: { kind: "slow", reader: 0, ticks: 6 }, wait: 0 },
        { command: { kind: "restartAgent" }, wait: 5 },
      ] as const;
      const input = { seed: 2028803871, checksFencing: false, steps };
      assert.equal(judgeOrders(input), []);
    });
  });
});
