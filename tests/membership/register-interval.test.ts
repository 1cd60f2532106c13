import * as assert from "uvu/assert";
import { REPLACEMENT_GRACE_MS } from "../../src/membership/directory.js";
import { registerIntervalMs } from "../../src/membership/register-interval.js";
import { describe, it } from "../support/describe.js";

const NO_OUTAGE = Number.POSITIVE_INFINITY;
/**
 * Time in which a live server has registered again, and its grace period, ms.
 */
const REREGISTRATION_MS = 2000;
const GRACE_MS = 2900;

describe("time between two readings of the register", () => {
  for (const drainMs of [2000, 3000, 10_000]) {
    it(`stops requests to leaving servers within ${drainMs} ms`, () => {
      // A leaving server that is noticed too late gets requests for too long.
      const lateMs =
        2 * registerIntervalMs(drainMs, NO_OUTAGE) + REPLACEMENT_GRACE_MS;
      assert.ok(lateMs <= drainMs, String(lateMs));
    });
  }

  it("is short enough after an outage to read new registrations in time", () => {
    // If new records are read too late, live servers are dropped.
    const intervalMs = registerIntervalMs(10_000, 0);
    assert.ok(REREGISTRATION_MS + intervalMs <= GRACE_MS);
  });

  it("depends on the drain time while the store is available", () => {
    const short = registerIntervalMs(2000, NO_OUTAGE);
    assert.ok(registerIntervalMs(3000, NO_OUTAGE) > short);
  });
});
