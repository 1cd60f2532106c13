import * as assert from "uvu/assert";
import { chooseUnfinished } from "../../src/intake/unfinished-input.js";
import { describe, it } from "../support/describe.js";

const KIB = 1024;
const CAPACITY_BYTES = 1000 * KIB;

function choose(
  bytes: readonly number[],
  isHeapShort = false,
): readonly number[] {
  const inputs = bytes.map((unfinishedBytes) => ({ unfinishedBytes }));
  const limits = { capacityBytes: CAPACITY_BYTES, isHeapShort };
  return chooseUnfinished(inputs, limits).map((input) => input.unfinishedBytes);
}

describe("connections with unfinished messages", () => {
  it("are closed from the largest on until the rest fits", () => {
    // Guards against messages that each stay under the limit and together end
    // the process.
    const bytes = [300 * KIB, 900 * KIB, 200 * KIB, 600 * KIB];
    assert.equal(choose(bytes), [900 * KIB, 600 * KIB]);
  });

  it("are closed one at a time while the heap is short", () => {
    // Guards against small parts, which take many times their length.
    assert.equal(choose([100 * KIB, 300 * KIB], true), [300 * KIB]);
  });

  it("stay open while they hold little", () => {
    // Guards against closing connections of peers because of something else
    // that fills the heap.
    assert.equal(choose([10 * KIB, 60 * KIB], true), []);
    assert.equal(choose([900 * KIB, 60 * KIB]), []);
  });
});
