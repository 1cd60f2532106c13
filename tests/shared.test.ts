import * as assert from "uvu/assert";
import {
  compareReadings,
  createRandom,
  errorTable,
  eventTable,
  failure,
  HybridClock,
} from "../src/internal.js";
import { describe, it } from "./support/describe.js";

describe("hybrid clock", () => {
  describe("when a message arrives from a process whose clock is ahead", () => {
    it("reads later than the message", () => {
      const clock = HybridClock.create(() => 1000);
      const sent = { physicalMs: 5000, counter: 7 };
      assert.ok(compareReadings(clock.observe(sent), sent) > 0);
    });

    it("ignores a reading that is more than a minute ahead", () => {
      const clock = HybridClock.create(() => 1000);
      clock.observe({ physicalMs: 1_000_000, counter: 0 });
      assert.is(clock.read().physicalMs, 1000);
    });
  });

  it("rises with every reading although the wall clock stands", () => {
    const clock = HybridClock.create(() => 1000);
    const first = clock.read();
    assert.ok(compareReadings(clock.read(), first) > 0);
  });
});

describe("random numbers", () => {
  it("repeat from the same seed", () => {
    const draw = (): number[] => {
      const random = createRandom(9);
      return [random(), random(), random()];
    };
    assert.equal(draw(), draw());
  });
});

describe("numbered tables", () => {
  it("give every error and every event a name of its own", () => {
    for (const table of [errorTable, eventTable]) {
      const entries: readonly { readonly name: string }[] =
        Object.values(table);
      const names = entries.map(({ name }) => name);
      assert.is(new Set(names).size, names.length);
    }
  });

  it("show the number, the name and the detail in the message", () => {
    const error = failure(1204, { model: "x" });
    assert.match(error.message, /^1204 model-unknown: .* \(model=x\)$/);
  });
});
