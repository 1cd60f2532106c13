import * as assert from "uvu/assert";
import {
  readObservation,
  writeObservation,
} from "../../src/rankmaps/rank-messages.js";
import { ObserveReply } from "../../src/wire/generated/rankmaps.js";
import { describe, it } from "../support/describe.js";

const STATE = {
  group: "g",
  epoch: 2,
  rank: 3,
  size: 72,
  isOpen: true,
  step: 70,
  mapVersion: 4,
  preparedVersion: 6,
  armed: { version: 6, step: 74 },
  heldStep: undefined,
  slowness: 1.5,
  startedAtMs: 1000,
};

/** As the planner reads what an agent has written. */
function pass(counts: readonly number[]): {
  readonly counts: readonly number[];
  readonly bytes: number;
} {
  const observation = { state: STATE, counts, experts: [[1, 2], [3]] };
  const bytes = ObserveReply.encode(writeObservation(observation)).finish();
  const read = readObservation(ObserveReply.decode(bytes));
  assert.equal(read.state, STATE);
  assert.equal(read.experts, observation.experts);
  return { counts: read.counts, bytes: bytes.length };
}

describe("what an agent tells of its rank", () => {
  it("gives counts within one in 500 of the highest", () => {
    const counts = [0, 7, 120, 40_000, 39_999];
    const read = pass(counts).counts;
    counts.forEach((count, index) => {
      assert.ok(Math.abs(read[index] - count) <= 40_000 / 500);
    });
  });

  it("gives no counts where nothing was chosen", () => {
    assert.equal(pass([0, 0, 0]).counts, []);
  });

  it("takes a byte for each count", () => {
    // 72 ranks of 12 sets and 144 experts: the planner's link of 5.6 Mbit/s
    // carries 700 bytes a ms.
    const counts = Array.from({ length: 12 * 144 }, (_, at) => 3000 + at);
    assert.ok(pass(counts).bytes < 12 * 144 + 200);
  });
});
