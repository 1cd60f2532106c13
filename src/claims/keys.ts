/** Idempotency keys: UUIDv7 (RFC 9562), whose own time tells their age. */
import { Left, Right, type Either } from "purify-ts";
import { validate, version } from "uuid";
import { failure, type ApricotdeckError } from "../internal.js";
import type { CallIdentity } from "./types.js";

const WANTED_VERSION = 7;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX = 16;
const LONGEST_SHOWN_KEY = 80;

/**
 * Streams that claims are spread over. Two entries with different counts would
 * look for one call in two streams and run it twice, so this never changes.
 * Shards take turns at an entry's appends: with more of them a claim waits for
 * longer.
 */
export const CLAIM_SHARDS = 4;

/**
 * Longest time for which a call can be repeated. Every reader applies it by the
 * log's clock, so it is the same everywhere; it bounds the memory of all.
 */
export const KEY_WINDOW_MS = 3_600_000;

/** How far the clocks of callers, entries and the log may be apart. */
export const CLOCK_SKEW_MS = 30_000;

export interface IdempotencyKey {
  readonly key: string;
  /** When it was made, ms since the Unix epoch. */
  readonly madeAtMs: number;
}

/** Reads the caller's header; error 1301 for any other form. */
export function parseIdempotencyKey(
  text: string,
): Either<ApricotdeckError, IdempotencyKey> {
  if (!validate(text) || version(text) !== WANTED_VERSION) {
    return Left(failure(1301, { found: text.slice(0, LONGEST_SHOWN_KEY) }));
  }
  const key = text.toLowerCase();
  return Right({ key, madeAtMs: keyTime(key) });
}

/** When a UUIDv7 was made, ms since the Unix epoch. */
export function keyTime(key: string): number {
  const digits = key.replaceAll("-", "").slice(0, TIMESTAMP_HEX_DIGITS);
  return Number.parseInt(digits, HEX);
}

/**
 * Refuses a key outside the window. Nobody can tell what was done under it
 * before, so the outcome is unknown, never "not run".
 */
export function checkKeyAge(
  { key, madeAtMs }: IdempotencyKey,
  nowMs: number,
): Either<ApricotdeckError, IdempotencyKey> {
  const ageMs = nowMs - madeAtMs;
  if (ageMs > KEY_WINDOW_MS - CLOCK_SKEW_MS) {
    return Left(failure(1302, { key, ageMs }));
  }
  if (ageMs < -CLOCK_SKEW_MS) return Left(failure(1303, { key, ageMs }));
  return Right({ key, madeAtMs });
}

/** FNV-1a: spreads well enough and every release computes the same. */
export function shardOf({ account, key }: CallIdentity): number {
  let hash = 0x811c9dc5;
  for (const byte of new TextEncoder().encode(`${account}\n${key}`)) {
    hash = Math.imul(hash ^ byte, 0x01000193) >>> 0;
  }
  return hash % CLAIM_SHARDS;
}

/** Name of the log stream of a shard. */
export function claimStream(shard: number): string {
  return `claims-${shard}`;
}
