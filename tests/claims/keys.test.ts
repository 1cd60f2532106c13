import * as assert from "uvu/assert";
import {
  checkKeyAge,
  CLAIM_SHARDS,
  keyTime,
  parseIdempotencyKey,
  shardOf,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

/** The example of RFC 9562, appendix A.6. */
const KEY = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
const MADE_AT_MS = 0x017f22e279b0;
const HOUR_MS = 3_600_000;

function numberOf(text: string): number {
  return parseIdempotencyKey(text).swap().unsafeCoerce().number;
}

describe("idempotency keys", () => {
  it("take a UUIDv7 in any case and tell when it was made", () => {
    const key = parseIdempotencyKey(KEY).unsafeCoerce();
    assert.is(key.key, KEY.toLowerCase());
    assert.is(key.madeAtMs, MADE_AT_MS);
    assert.is(keyTime(key.key), MADE_AT_MS);
  });

  it("refuse any other form", () => {
    assert.is(numberOf(""), 1301);
    assert.is(numberOf("order-17"), 1301);
    assert.is(numberOf("919108f7-52d1-4320-9bac-f847db4148a8"), 1301);
    assert.is(numberOf(`${KEY}0`), 1301);
    assert.is(numberOf(`${KEY}\r\nx: y`), 1301);
  });

  describe("outside their window", () => {
    // What was done under an old key may be trimmed from the log, so nobody can
    // say that the call was not run: the refusal says "unknown".
    it("are refused with an unknown outcome", () => {
      const key = parseIdempotencyKey(KEY).unsafeCoerce();
      const old = checkKeyAge(key, MADE_AT_MS + HOUR_MS);
      const early = checkKeyAge(key, MADE_AT_MS - 60_000);
      for (const refusal of [old, early]) {
        assert.is(refusal.swap().unsafeCoerce().entry.outcome, "unknown");
      }
      assert.ok(checkKeyAge(key, MADE_AT_MS + HOUR_MS / 2).isRight());
    });
  });

  it("spread over all shards, each account by itself", () => {
    const shards = Array.from({ length: 1000 }, (_item, index) =>
      shardOf({ account: `account-${index}`, key: KEY }),
    );
    assert.is(new Set(shards).size, CLAIM_SHARDS);
  });
});
