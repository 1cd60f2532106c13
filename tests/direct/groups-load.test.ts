import * as assert from "uvu/assert";
import { describe, it } from "../support/describe.js";
import {
  GroupWorld,
  type GroupOutcome,
  type GroupWorldOptions,
} from "./group-world.js";

const SEEDS = [1, 2, 3];
const ENTRIES = 6;
const MANY_ENTRIES = 16;
const NEVER = { fromMs: 0, toMs: 0 };
const OUTAGE = { fromMs: 10_000, toMs: 16_000 };

function playAll(
  options: Omit<GroupWorldOptions, "seed" | "entries">,
  entries = ENTRIES,
): readonly GroupOutcome[] {
  return SEEDS.map((seed) =>
    GroupWorld.create({ ...options, entries, seed }).play(),
  );
}

function shareInTime(outcomes: readonly GroupOutcome[]): number {
  const shares = outcomes.map(({ inTime, calls }) => inTime / calls);
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

describe("a service of three groups", () => {
  it("serves nine callers in ten in time although one group is slow", () => {
    // Every entry gave each group the same, so all streams of the slow one were
    // late, and the limit that followed from them held the good groups back.
    const load = { rate: 70, slowness: 2, refuses: NEVER };
    const served = shareInTime(playAll({ ...load, knowsGroups: true }));
    assert.ok(served >= 0.9, String(served));
  });

  it("serves more callers in time than without knowledge of groups", () => {
    // More than all groups can serve in time, one of them slow.
    const load = { rate: 170, slowness: 2, refuses: NEVER };
    const known = shareInTime(playAll({ ...load, knowsGroups: true }));
    const unknown = shareInTime(playAll({ ...load, knowsGroups: false }));
    assert.ok(known > unknown, `${known} ${unknown}`);
  });

  it("sends next to nothing to a group that refuses, and uses the others", () => {
    // A request that is refused loses one of its attempts, and the service one
    // of its repeats.
    const load = { rate: 80, slowness: 1, refuses: OUTAGE };
    const outcomes = playAll({ ...load, knowsGroups: true });
    for (const { refusals, calls } of outcomes) {
      assert.ok(refusals < calls / 10, String(refusals));
    }
    assert.ok(shareInTime(outcomes) >= 0.9);
  });

  it("loses nothing where all groups are alike", () => {
    const load = { rate: 100, slowness: 1, refuses: NEVER };
    const served = shareInTime(playAll({ ...load, knowsGroups: true }));
    assert.ok(served >= 0.9, String(served));
  });

  it("serves as many in time through many entries as through a few", () => {
    // Each entry lets in more step by step; sixteen steps at once took a group
    // past the objective and back, and half as many callers were served in time.
    const load = { rate: 130, slowness: 1, refuses: NEVER, knowsGroups: true };
    const few = shareInTime(playAll(load));
    const many = shareInTime(playAll(load, MANY_ENTRIES));
    assert.ok(many >= few * 0.9, `${many} ${few}`);
  });
});
