/**
 * Group commit for one shard: entries added while an append is in flight go
 * into the next batch, so the append rate doesn't grow with the claim rate. The
 * log takes several hundred appends per second in total; one append per claim
 * would exhaust that at a few hundred calls per second.
 */
import type { ClaimBatch, ClaimLogEntry } from "./types.js";

/** Keeps a log record below 200 kB. */
const MAXIMUM_BATCH_ENTRIES = 500;

/** An append without an answer is retried after this time. */
const APPEND_TIMEOUT_MS = 500;

/** Wait after a failed append; prevents a retry storm during an outage. */
const RETRY_BACKOFF_MS = 100;

interface InFlight {
  readonly batch: ClaimBatch;
  readonly sentAtMs: number;
}

export class ClaimBatcher {
  private queue: ClaimLogEntry[] = [];
  private inFlight: InFlight | undefined;
  private nextAppendAtMs = Number.NEGATIVE_INFINITY;

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

  /** Removes the attempt from the queue and from what a retry would send. */
  withdraw(attempt: string): void {
    this.queue = this.queue.filter((entry) => entry.attempt !== attempt);
    if (this.inFlight === undefined) return;
    const { batch } = this.inFlight;
    const entries = batch.entries.filter((item) => item.attempt !== attempt);
    this.inFlight = { ...this.inFlight, batch: { ...batch, entries } };
  }

  /** The next batch, or undefined if none may be appended now. */
  nextBatch(nowMs: number): ClaimBatch | undefined {
    this.failTimedOutAppend(nowMs);
    if (this.inFlight !== undefined || nowMs < this.nextAppendAtMs) {
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

  /** The append was answered; which claims won is known only by reading. */
  onAnswered(nonce: string): void {
    if (this.inFlight?.batch.nonce === nonce) this.inFlight = undefined;
  }

  /**
   * The append failed, or it took effect and its answer was lost. A second
   * append is harmless: a copy of a claim that already won changes nothing.
   */
  onFailed(nonce: string, nowMs: number): void {
    if (this.inFlight?.batch.nonce !== nonce) return;
    this.queue = [...this.inFlight.batch.entries, ...this.queue];
    this.inFlight = undefined;
    this.nextAppendAtMs = nowMs + RETRY_BACKOFF_MS;
  }

  /** The entry was read back and needs no retry. */
  onRead(entry: ClaimLogEntry): void {
    this.queue = this.queue.filter((queued) => !isSameEntry(queued, entry));
    if (this.inFlight === undefined) return;
    const { batch } = this.inFlight;
    const entries = batch.entries.filter((item) => !isSameEntry(item, entry));
    // With every entry read back, the append took effect even if its answer
    // was lost.
    this.inFlight =
      entries.length === 0
        ? undefined
        : { ...this.inFlight, batch: { ...batch, entries } };
  }

  private failTimedOutAppend(nowMs: number): void {
    const { inFlight } = this;
    if (inFlight === undefined) return;
    if (nowMs - inFlight.sentAtMs < APPEND_TIMEOUT_MS) return;
    this.onFailed(inFlight.batch.nonce, nowMs);
  }
}

function isSameEntry(a: ClaimLogEntry, b: ClaimLogEntry): boolean {
  return a.kind === b.kind && a.attempt === b.attempt;
}
