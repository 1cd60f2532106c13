import * as assert from "uvu/assert";
import { createRandom } from "../../src/internal.js";
import { ExpertDemand } from "../../src/rankmaps/demand.js";
import { describe, it } from "../support/describe.js";

describe("demand for experts", () => {
  it("is telling from what is remembered, at the first look", () => {
    // After a loss of all VMs. The first look counts nothing, and lies longer
    // behind the one before than anything is kept. Rounded down by one part in
    // 10^15, a remembered demand counted for nothing.
    const random = createRandom(1);
    for (let size = 1; size < 400; size += 1) {
      const shares = Array.from({ length: size }, () => 1 + 254 * random());
      const demand = ExpertDemand.create(size, shares);
      demand.add([], 60_000);
      assert.ok(demand.isTelling, `${size} experts`);
    }
  });

  it("fades behind what is counted", () => {
    const demand = ExpertDemand.create(2, [1, 0]);
    for (let look = 0; look < 8; look += 1) demand.add([[0, 50_000]], 250);
    assert.ok(demand.tokens[0] < demand.total / 100);
  });

  it("remembers nothing of other engines", () => {
    assert.not.ok(ExpertDemand.create(3, [1, 1]).isTelling);
  });
});
