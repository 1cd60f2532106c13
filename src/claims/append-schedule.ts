/**
 * Limits the appends of one entry, over all shards, to its share of the log's
 * append rate. Shards are served round-robin so that a busy shard can't starve
 * the others.
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
  /** Token bucket of appends, refilled at `appendsPerSecond`. */
  private availableAppends = CLAIM_SHARDS;
  private refilledAtMs = Number.NEGATIVE_INFINITY;
  private nextShard = 0;
  private batchCount = 0;

  private constructor(
    incarnation: string,
    private readonly appendsPerSecond: number,
  ) {
    const newNonce = (): string => {
      this.batchCount += 1;
      return `${incarnation}-${this.batchCount}`;
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

  /** The next batch to append, or undefined if none is due. */
  nextBatch(nowMs: number): ShardBatch | undefined {
    this.refillAppends(nowMs);
    if (this.availableAppends < 1) return undefined;
    for (let turn = 0; turn < CLAIM_SHARDS; turn += 1) {
      const shard = (this.nextShard + turn) % CLAIM_SHARDS;
      const batch = this.batchers[shard].nextBatch(nowMs);
      if (batch === undefined) continue;
      this.nextShard = (shard + 1) % CLAIM_SHARDS;
      this.availableAppends -= 1;
      return { shard, batch };
    }
    return undefined;
  }

  /** The bucket holds one append per shard: a lone call never waits for it. */
  private refillAppends(nowMs: number): void {
    const sinceMs = Math.max(nowMs - this.refilledAtMs, 0);
    const gained = (sinceMs / MS_PER_SECOND) * this.appendsPerSecond;
    this.availableAppends = Math.min(
      CLAIM_SHARDS,
      this.availableAppends + gained,
    );
    this.refilledAtMs = nowMs;
  }
}
