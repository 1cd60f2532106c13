import * as assert from "uvu/assert";
import { checkOrders, ordersTarget } from "../../fuzz/orders.js";
import { describe, it } from "../support/describe.js";

const CLEAN_RUNS = 500;

describe("orders to engines under random faults", () => {
  it("let no stale order override a confirmed one", async () => {
    const result = await ordersTarget.run({ seed: 1, runs: CLEAN_RUNS });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, CLEAN_RUNS);
  });

  describe("with a safeguard disabled", () => {
    for (const [mutation, runs] of Object.entries(ordersTarget.mutations)) {
      it(`finds a violation for mutation ${mutation}`, async () => {
        const result = await ordersTarget.run({ seed: 1, runs, mutation });
        assert.is(result.violations, 1);
      });
    }
  });

  describe("regressions", () => {
    // Two processes send orders at the same time. One of them reads the log
    // with a lag and hasn't read the holder's renewals yet. It must not
    // conclude that the lease has expired and acquire it.
    it("grants no lease to a process that hasn't read the renewals", () => {
      const steps = [
        { command: { kind: "slow", reader: 1, ticks: 43 }, waitTicks: 42 },
        { command: { kind: "slow", reader: 0, ticks: 6 }, waitTicks: 0 },
        { command: { kind: "restartAgent" }, waitTicks: 5 },
      ] as const;
      const input = { seed: 2028803871, checksFencing: false, steps };
      assert.equal(checkOrders(input), []);
    });
  });
});
