import * as assert from "uvu/assert";
import {
  checkKeyAge,
  CLAIM_SHARDS,
  keyTimestampMs,
  parseIdempotencyKey,
  shardOf,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

/** The example of RFC 9562, appendix A.6. */
const KEY = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
const CREATED_AT_MS = 0x017f22e279b0;
const HOUR_MS = 3_600_000;

function errorNumberOf(text: string): number {
  return parseIdempotencyKey(text).swap().unsafeCoerce().number;
}

describe("idempotency keys", () => {
  it("are UUIDv7s in upper or lower case and contain a timestamp", () => {
    const key = parseIdempotencyKey(KEY).unsafeCoerce();
    assert.is(key.key, KEY.toLowerCase());
    assert.is(key.createdAtMs, CREATED_AT_MS);
    assert.is(keyTimestampMs(key.key), CREATED_AT_MS);
  });

  it("are rejected in any other format", () => {
    assert.is(errorNumberOf(""), 1301);
    assert.is(errorNumberOf("order-17"), 1301);
    assert.is(errorNumberOf("919108f7-52d1-4320-9bac-f847db4148a8"), 1301);
    assert.is(errorNumberOf(`${KEY}0`), 1301);
    assert.is(errorNumberOf(`${KEY}\r\nx: y`), 1301);
  });

  describe("outside their window", () => {
    // Records of an old key may be trimmed from the log, so "not run" can't be
    // guaranteed.
    it("are refused with an unknown outcome", () => {
      const key = parseIdempotencyKey(KEY).unsafeCoerce();
      const old = checkKeyAge(key, CREATED_AT_MS + HOUR_MS);
      const early = checkKeyAge(key, CREATED_AT_MS - 60_000);
      for (const refusal of [old, early]) {
        assert.is(refusal.swap().unsafeCoerce().entry.outcome, "unknown");
      }
      assert.ok(checkKeyAge(key, CREATED_AT_MS + HOUR_MS / 2).isRight());
    });
  });

  it("are distributed over all shards by account", () => {
    const shards = Array.from({ length: 1000 }, (_item, index) =>
      shardOf({ account: `account-${index}`, key: KEY }),
    );
    assert.is(new Set(shards).size, CLAIM_SHARDS);
  });
});
