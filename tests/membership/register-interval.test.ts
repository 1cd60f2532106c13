import * as assert from "uvu/assert";
import { REPLACED_GRACE_MS } from "../../src/membership/directory.js";
import { registerIntervalMs } from "../../src/membership/register-interval.js";
import { describe, it } from "../support/describe.js";

const CALM = Number.POSITIVE_INFINITY;
/** In which a living server has registered again, and its grace, ms. */
const REGISTERED_MS = 2000;
const GRACE_MS = 2900;

describe("time between two readings of the register", () => {
  for (const drainMs of [2000, 3000, 10_000]) {
    it(`keeps work from servers that left ${drainMs} ms ago`, () => {
      // A leaving server that is seen too late gets work for too long.
      const lateMs = 2 * registerIntervalMs(drainMs, CALM) + REPLACED_GRACE_MS;
      assert.ok(lateMs <= drainMs, String(lateMs));
    });
  }

  it("is short enough after an outage for those that register again", () => {
    // Living servers were dropped because their new records were read too late.
    const intervalMs = registerIntervalMs(10_000, 0);
    assert.ok(REGISTERED_MS + intervalMs <= GRACE_MS);
  });

  it("follows from the bound while the store is well", () => {
    const short = registerIntervalMs(2000, CALM);
    assert.ok(registerIntervalMs(3000, CALM) > short);
  });
});
