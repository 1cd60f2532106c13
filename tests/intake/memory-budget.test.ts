import * as assert from "uvu/assert";
import { EventBounds } from "../../src/direct/response-bounds.js";
import { MemoryBudget } from "../../src/intake/memory-budget.js";
import { describe, it } from "../support/describe.js";

const CAPACITY_BYTES = 1000;

describe("memory budget", () => {
  it("breaks off large responses beyond the capacity, not small ones", () => {
    // Guards against an entry that is killed for its memory because many
    // responses grow at once, and against small ones that fall with them.
    const budget = MemoryBudget.create(CAPACITY_BYTES);
    const large = budget.open();
    assert.ok(large.tryHold(CAPACITY_BYTES));
    const small = budget.open();
    assert.ok(small.tryHold(CAPACITY_BYTES / 10));
    assert.not.ok(large.tryHold(CAPACITY_BYTES + 1));
    large[Symbol.dispose]();
    small[Symbol.dispose]();
    assert.is(budget.heldBytes, 0);
  });

  it("holds at most twice the capacity", () => {
    // Guards against responses that each stay small and together don't.
    const budget = MemoryBudget.create(CAPACITY_BYTES);
    const responses = Array.from({ length: 50 }, () => budget.open());
    for (let bytes = 10; bytes <= CAPACITY_BYTES; bytes += 10) {
      for (const held of responses) {
        if (!held.tryHold(bytes)) held.tryHold(0);
        assert.ok(budget.heldBytes <= 2 * CAPACITY_BYTES);
      }
    }
  });
});

describe("bounds of an event", () => {
  it("allow a stream that is slow between its events", () => {
    // Guards against breaking off a stream whose events each come in time.
    const bounds = EventBounds.create();
    for (let nowMs = 0; nowMs < 60_000; nowMs += 1500) {
      assert.is(bounds.check(10, true, nowMs), undefined);
    }
  });

  it("end an event that takes too long or is too large", () => {
    // Guards against an event without an end.
    const slow = EventBounds.create();
    assert.is(slow.check(1, false, 0), undefined);
    assert.is(slow.check(2, false, 2001), "event takes too long");
    const large = EventBounds.create();
    assert.is(large.check(2 ** 20 + 1, false, 0), "event too large");
  });
});
