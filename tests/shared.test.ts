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
    it("returns a later reading than the message's", () => {
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

  it("advances with every reading while the wall clock stands still", () => {
    const clock = HybridClock.create(() => 1000);
    const first = clock.read();
    assert.ok(compareReadings(clock.read(), first) > 0);
  });
});

describe("random numbers", () => {
  it("are the same for the same seed", () => {
    const drawThree = (): number[] => {
      const random = createRandom(9);
      return [random(), random(), random()];
    };
    assert.equal(drawThree(), drawThree());
  });
});

describe("tables of errors and events", () => {
  it("give every entry a unique name", () => {
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
