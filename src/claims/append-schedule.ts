/**
 * Appends of one entry over all shards, within its part of what the log takes.
 * Shards take turns, so that a busy one doesn't keep the others waiting.
 */
import { ClaimBatcher } from "./batcher.js";
import { CLAIM_SHARDS } from "./keys.js";
import type { ClaimBatch, ClaimLogEntry } from "./types.js";

const MS_PER_SECOND = 1000;

export interface ShardBatch {
  readonly shard: number;
  readonly batch: ClaimBatch;
}

export class AppendSchedule {
  private readonly batchers: readonly ClaimBatcher[];
  /** Appends that may be made at once; refilled at the entry's rate. */
  private allowance = CLAIM_SHARDS;
  private refilledAtMs = Number.NEGATIVE_INFINITY;
  private nextShard = 0;
  private batches = 0;

  private constructor(
    incarnation: string,
    private readonly appendsPerSecond: number,
  ) {
    const newNonce = (): string => {
      this.batches += 1;
      return `${incarnation}-${this.batches}`;
    };
    this.batchers = Array.from({ length: CLAIM_SHARDS }, () =>
      ClaimBatcher.create(newNonce),
    );
  }

  static create(incarnation: string, appendsPerSecond: number): AppendSchedule {
    return new AppendSchedule(incarnation, appendsPerSecond);
  }

  get isIdle(): boolean {
    return this.batchers.every((batcher) => batcher.isIdle);
  }

  add(shard: number, ...entries: readonly ClaimLogEntry[]): void {
    this.batchers[shard].add(...entries);
  }

  withdraw(shard: number, attempt: string): void {
    this.batchers[shard].withdraw(attempt);
  }

  onAnswered(shard: number, nonce: string): void {
    this.batchers[shard].onAnswered(nonce);
  }

  onFailed(shard: number, nonce: string, nowMs: number): void {
    this.batchers[shard].onFailed(nonce, nowMs);
  }

  onRead(shard: number, entry: ClaimLogEntry): void {
    this.batchers[shard].onRead(entry);
  }

  /** The next batch to append now, if any. */
  take(nowMs: number): ShardBatch | undefined {
    this.refill(nowMs);
    if (this.allowance < 1) return undefined;
    for (let turn = 0; turn < CLAIM_SHARDS; turn += 1) {
      const shard = (this.nextShard + turn) % CLAIM_SHARDS;
      const batch = this.batchers[shard].take(nowMs);
      if (batch === undefined) continue;
      this.nextShard = (shard + 1) % CLAIM_SHARDS;
      this.allowance -= 1;
      return { shard, batch };
    }
    return undefined;
  }

  /** A call that comes alone is appended at once, whichever shard it is of. */
  private refill(nowMs: number): void {
    const sinceMs = Math.max(nowMs - this.refilledAtMs, 0);
    const gained = (sinceMs / MS_PER_SECOND) * this.appendsPerSecond;
    this.allowance = Math.min(CLAIM_SHARDS, this.allowance + gained);
    this.refilledAtMs = nowMs;
  }
}
