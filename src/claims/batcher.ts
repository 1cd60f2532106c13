/**
 * Group commit for one shard: what comes up while an append is under way goes
 * with the next one, so the log's appends don't grow with the claims. Made for
 * a log that takes several hundred appends a second in all; an append for each
 * claim would use that up at a few hundred calls a second.
 */
import type { ClaimBatch, ClaimLogEntry } from "./types.js";

/** Keeps a record below 200 kB. */
const MAXIMUM_BATCH_ENTRIES = 500;

/** An append that says nothing for so long is made again. */
const APPEND_TIMEOUT_MS = 500;

/** After a failure, so that an outage isn't answered by a storm. */
const RETRY_PAUSE_MS = 100;

interface InFlight {
  readonly batch: ClaimBatch;
  readonly sentAtMs: number;
}

export class ClaimBatcher {
  private queue: ClaimLogEntry[] = [];
  private inFlight: InFlight | undefined;
  private notBeforeMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly newNonce: () => string) {}

  static create(newNonce: () => string): ClaimBatcher {
    return new ClaimBatcher(newNonce);
  }

  get isIdle(): boolean {
    return this.queue.length === 0 && this.inFlight === undefined;
  }

  add(...entries: readonly ClaimLogEntry[]): void {
    this.queue.push(...entries);
  }

  /** Gives up what was not sent or has to be sent again. */
  withdraw(attempt: string): void {
    this.queue = this.queue.filter((entry) => entry.attempt !== attempt);
    if (this.inFlight === undefined) return;
    const { batch } = this.inFlight;
    const entries = batch.entries.filter((item) => item.attempt !== attempt);
    this.inFlight = { ...this.inFlight, batch: { ...batch, entries } };
  }

  /** The next batch, if one may be appended now. */
  take(nowMs: number): ClaimBatch | undefined {
    this.expire(nowMs);
    if (this.inFlight !== undefined || nowMs < this.notBeforeMs) {
      return undefined;
    }
    if (this.queue.length === 0) return undefined;
    const entries = this.queue.slice(0, MAXIMUM_BATCH_ENTRIES);
    this.queue = this.queue.slice(MAXIMUM_BATCH_ENTRIES);
    const batch: ClaimBatch = {
      kind: "claims",
      nonce: this.newNonce(),
      entries,
    };
    this.inFlight = { batch, sentAtMs: nowMs };
    return batch;
  }

  /** The append was answered; what it came to is learnt by reading. */
  onAnswered(nonce: string): void {
    if (this.inFlight?.batch.nonce === nonce) this.inFlight = undefined;
  }

  /**
   * The append failed, or its answer was lost after it took effect. Appending
   * again is harmless: a copy meets the claim that the first one made.
   */
  onFailed(nonce: string, nowMs: number): void {
    if (this.inFlight?.batch.nonce !== nonce) return;
    this.queue = [...this.inFlight.batch.entries, ...this.queue];
    this.inFlight = undefined;
    this.notBeforeMs = nowMs + RETRY_PAUSE_MS;
  }

  /** The entry was read back, so that it needs no further append. */
  onRead(entry: ClaimLogEntry): void {
    this.queue = this.queue.filter((queued) => !isSame(queued, entry));
    if (this.inFlight === undefined) return;
    const { batch } = this.inFlight;
    const entries = batch.entries.filter((item) => !isSame(item, entry));
    // All read back: the append took effect, whatever became of its answer.
    this.inFlight =
      entries.length === 0
        ? undefined
        : { ...this.inFlight, batch: { ...batch, entries } };
  }

  private expire(nowMs: number): void {
    const { inFlight } = this;
    if (inFlight === undefined) return;
    if (nowMs - inFlight.sentAtMs < APPEND_TIMEOUT_MS) return;
    this.onFailed(inFlight.batch.nonce, nowMs);
  }
}

function isSame(a: ClaimLogEntry, b: ClaimLogEntry): boolean {
  return a.kind === b.kind && a.attempt === b.attempt;
}
