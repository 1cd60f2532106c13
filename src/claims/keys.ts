/** Idempotency keys: UUIDv7 (RFC 9562), whose timestamp gives their age. */
import { Left, Right, type Either } from "purify-ts";
import { validate, version } from "uuid";
import { failure, type ApricotdeckError } from "../internal.js";
import type { CallIdentity } from "./types.js";

const REQUIRED_UUID_VERSION = 7;
const TIMESTAMP_HEX_DIGITS = 12;
const HEXADECIMAL_RADIX = 16;
const MAXIMUM_REPORTED_KEY_CHARACTERS = 80;

/**
 * Number of log streams that claims are distributed over. It must never change:
 * two entries with different counts would look for one call in two streams and
 * run it twice. An entry serves its shards round-robin within its append limit,
 * so more shards would make a claim wait longer.
 */
export const CLAIM_SHARDS = 4;

/**
 * How long a call can be repeated. Every reader applies it by the log's clock,
 * so all readers agree. It also bounds each reader's memory.
 */
export const KEY_WINDOW_MS = 3_600_000;

/** Maximum difference between the clocks of callers, entries and the log. */
export const CLOCK_SKEW_MS = 30_000;

export interface IdempotencyKey {
  readonly key: string;
  /** Timestamp of the key, ms since the Unix epoch. */
  readonly createdAtMs: number;
}

/** Parses the caller's header; error 1301 unless it is a UUIDv7. */
export function parseIdempotencyKey(
  text: string,
): Either<ApricotdeckError, IdempotencyKey> {
  if (!validate(text) || version(text) !== REQUIRED_UUID_VERSION) {
    return Left(
      failure(1301, { found: text.slice(0, MAXIMUM_REPORTED_KEY_CHARACTERS) }),
    );
  }
  const key = text.toLowerCase();
  return Right({ key, createdAtMs: keyTimestampMs(key) });
}

/** Timestamp of a UUIDv7, ms since the Unix epoch. */
export function keyTimestampMs(key: string): number {
  const digits = key.replaceAll("-", "").slice(0, TIMESTAMP_HEX_DIGITS);
  return Number.parseInt(digits, HEXADECIMAL_RADIX);
}

/**
 * Refuses a key outside the window. Records of earlier calls under it may be
 * gone, so the outcome is unknown, never "not run".
 */
export function checkKeyAge(
  { key, createdAtMs }: IdempotencyKey,
  nowMs: number,
): Either<ApricotdeckError, IdempotencyKey> {
  const ageMs = nowMs - createdAtMs;
  if (ageMs > KEY_WINDOW_MS - CLOCK_SKEW_MS) {
    return Left(failure(1302, { key, ageMs }));
  }
  if (ageMs < -CLOCK_SKEW_MS) return Left(failure(1303, { key, ageMs }));
  return Right({ key, createdAtMs });
}

/**
 * FNV-1a hash: distributes keys evenly enough, and every release computes the
 * same shard.
 */
export function shardOf({ account, key }: CallIdentity): number {
  let hash = 0x811c9dc5;
  for (const byte of new TextEncoder().encode(`${account}\n${key}`)) {
    hash = Math.imul(hash ^ byte, 0x01000193) >>> 0;
  }
  return hash % CLAIM_SHARDS;
}

/** Name of a shard's log stream. */
export function claimStream(shard: number): string {
  return `claims-${shard}`;
}
