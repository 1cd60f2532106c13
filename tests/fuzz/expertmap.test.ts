import * as assert from "uvu/assert";
import { expertmap, judge } from "../../fuzz/expertmap.js";
import { describe, it } from "../support/describe.js";

const CLEAN_RUNS = 300;
/** A seed of its own keeps the slowest mutation to a second. */
const seeds: Readonly<Partial<Record<string, number>>> = { refuseBeforeNo: 4 };

describe("expert map under random faults", () => {
  it("keeps one map in every step and steps on", async () => {
    const result = await expertmap.run({ seed: 1, runs: CLEAN_RUNS });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, CLEAN_RUNS);
  });

  describe("with a safeguard switched off", () => {
    for (const [mutation, runs] of Object.entries(expertmap.mutations)) {
      it(`notices the loss of ${mutation}`, async () => {
        const seed = seeds[mutation] ?? 1;
        const result = await expertmap.run({ seed, runs, mutation });
        assert.is(result.violations, 1);
      });
    }
  });

  describe("histories that failed once", () => {
    // The group stands still for ever. The engine of the agent that runs the
    // formation starts again after its promise; the agent waited for its own
    // engine to join, and its messages kept the others from forming anew.
    it("forms anew when the former's engine forgot its promise", () => {
      const fault = { kind: "restartEngine", member: 0 } as const;
      const steps = [
        { fault, wait: 55 },
        { fault, wait: 0 },
      ];
      assert.equal(judge({ seed: 994943953, steps }), []);
    });

    // The group stands still for ever. A member dies before its vote is known;
    // another is armed. The formation goes back to the old map, for which the
    // armed engine took no weights any more, so that it could never join.
    it("lets an armed engine join a formation that goes back", () => {
      const trap = {
        kind: "trap",
        member: 0,
        call: "arm",
        act: "pauseAgent",
        lossy: true,
      } as const;
      const steps = [
        { fault: { kind: "network", ticks: 25 }, wait: 0 },
        { fault: { kind: "propose", member: 0, map: 1 }, wait: 40 },
        { fault: trap, wait: 40 },
        {
          fault: { kind: "restartAgent", member: 1, oldGoesOn: true },
          wait: 15,
        },
        { fault: { kind: "replace", member: 0 }, wait: 0 },
        { fault: { kind: "store", ticks: 1 }, wait: 0 },
      ] as const;
      assert.equal(judge({ seed: 1637078277, steps }), []);
    });

    // The group stands still for ever. An engine forgets a promise and joins an
    // older formation that is still being sent, the others joined the newer:
    // each looks whole by itself and waits for the rest.
    it("forms anew when members joined different formations", () => {
      const trap = {
        kind: "trap",
        member: 0,
        call: "stage",
        act: "restartAgent",
        lossy: true,
      } as const;
      const steps = [
        { fault: trap, wait: 0 },
        { fault: { kind: "propose", member: 2, map: 0 }, wait: 8 },
        {
          fault: { kind: "restartAgent", member: 0, oldGoesOn: false },
          wait: 15,
        },
        { fault: { kind: "pause", member: 1, ticks: 26 }, wait: 36 },
        { fault: { kind: "propose", member: 0, map: 0 }, wait: 36 },
        { fault: { kind: "replace", member: 1 }, wait: 0 },
        { fault: { kind: "network", ticks: 82 }, wait: 34 },
        {
          fault: { kind: "restartAgent", member: 2, oldGoesOn: false },
          wait: 38,
        },
        { fault: { kind: "restartEngine", member: 0 }, wait: 9 },
      ] as const;
      assert.equal(judge({ seed: 14, steps }), []);
    });

    // The group stands still for ever. An engine starts again, and a late order
    // to stage reaches the new one; its agent believed all weights fetched, as
    // the engine named the map that it had fetched for.
    it("fetches again what an engine lost", () => {
      const propose = { kind: "propose", member: 0, map: 0 } as const;
      const steps = [
        { fault: { kind: "calls", ticks: 67 }, wait: 36 },
        { fault: propose, wait: 45 },
        { fault: propose, wait: 16 },
        { fault: { kind: "restartEngine", member: 0 }, wait: 0 },
        { fault: propose, wait: 0 },
      ] as const;
      assert.equal(judge({ seed: 1085730743, steps }), []);
    });
  });
});
