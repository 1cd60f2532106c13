import * as assert from "uvu/assert";
import { expertmapTarget, checkHistory } from "../../fuzz/expertmap.js";
import { describe, it } from "../support/describe.js";

const CLEAN_RUNS = 300;
/**
 * Seeds with which mutations that take long to detect with seed 1 are found
 * within a second.
 */
const seeds: Readonly<Partial<Record<string, number>>> = { refuseBeforeNo: 4 };

describe("expert map under random faults", () => {
  it("uses one map in every step and keeps running", async () => {
    const result = await expertmapTarget.run({ seed: 1, runs: CLEAN_RUNS });
    assert.equal(result.counterexample, []);
    assert.is(result.histories, CLEAN_RUNS);
  });

  describe("with a safeguard disabled", () => {
    for (const [mutation, runs] of Object.entries(expertmapTarget.mutations)) {
      it(`finds a violation for mutation ${mutation}`, async () => {
        const seed = seeds[mutation] ?? 1;
        const result = await expertmapTarget.run({ seed, runs, mutation });
        assert.is(result.violations, 1);
      });
    }
  });

  describe("regressions", () => {
    // Guards against a group that is stuck forever: the engine of the agent
    // that started the formation restarts after it was sealed, and the agent
    // waits for its own engine to join while its messages keep the other
    // members from starting a new formation.
    it("forms again when the engine of the formation's author has lost its seal", () => {
      const fault = { kind: "restartEngine", member: 0 } as const;
      const steps = [
        { fault, wait: 55 },
        { fault, wait: 0 },
      ];
      assert.equal(checkHistory({ seed: 994943953, steps }), []);
    });

    // Guards against a group that is stuck forever: a member dies before its
    // vote is known while another engine is armed, and the formation returns to
    // the old map. If the armed engine refuses the weights for that map, it can
    // never join.
    it("lets an armed engine join a formation that returns to the old map", () => {
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
      assert.equal(checkHistory({ seed: 1637078277, steps }), []);
    });

    // Guards against a group that is stuck forever: one engine loses its
    // seal and joins an older formation that is still being sent, while the
    // others have joined the newer one. Each formation looks complete to its
    // members, which wait for the rest.
    it("forms again when members have joined different formations", () => {
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
      assert.equal(checkHistory({ seed: 14, steps }), []);
    });

    // Guards against a group that is stuck forever: an engine restarts, and a
    // delayed order to stage reaches the new process. The engine then names the
    // map for which its predecessor fetched weights, so the agent concludes
    // that all weights have been fetched.
    it("fetches weights again after an engine has lost them", () => {
      const propose = { kind: "propose", member: 0, map: 0 } as const;
      const steps = [
        { fault: { kind: "calls", ticks: 67 }, wait: 36 },
        { fault: propose, wait: 45 },
        { fault: propose, wait: 16 },
        { fault: { kind: "restartEngine", member: 0 }, wait: 0 },
        { fault: propose, wait: 0 },
      ] as const;
      assert.equal(checkHistory({ seed: 1085730743, steps }), []);
    });
  });
});
