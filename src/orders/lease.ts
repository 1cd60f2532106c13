/**
 * The lease for issuing orders, and the orders themselves, stored in a stream
 * of the platform's log. The lease holder and the valid orders are a function
 * of the log alone, so every reader computes the same result. The offset of an
 * order's record is its fencing token: later orders have higher ones.
 *
 * The duration only tells others when they may try to take over. Safety against
 * a paused holder doesn't depend on it: a late record refers to a lease that is
 * no longer valid and is ignored, and an order that was valid before is fenced
 * by the engine or by the agent beside it.
 */
import type { Order } from "../internal.js";

export interface LeaseRecord {
  readonly kind: "acquire" | "renew" | "release";
  readonly holder: string;
  /**
   * Offset of the record it follows, as its writer knew it: the latest renewal
   * for `acquire`, the acquisition of the lease for the others.
   */
  readonly after: number;
  /** Time before the append by the writer's own clock; others don't use it. */
  readonly sentAt: number;
}

export interface OrderRecord {
  readonly kind: "order";
  readonly holder: string;
  readonly after: number;
  readonly order: Omit<Order, "fencing">;
}

export interface Lease {
  readonly holder: string;
  /** Offset of the record that acquired it. */
  readonly acquiredOffset: number;
  /** Offset of the latest record that acquired or renewed it. */
  readonly renewedOffset: number;
}

/** State before any lease was acquired. */
export const noLease: Lease = {
  holder: "",
  acquiredOffset: -1,
  renewedOffset: -1,
};

/**
 * Returns the lease after one more record. A record that follows another lease
 * than the valid one has lost a race and changes nothing.
 */
export function applyLeaseRecord(
  lease: Lease,
  record: LeaseRecord,
  offset: number,
): Lease {
  const { kind, holder, after } = record;
  if (kind === "acquire") {
    // A writer that lags behind in the log mistakes its lag for a silent
    // holder. It doesn't know the latest renewal, so its attempt fails here.
    if (after !== lease.renewedOffset) return lease;
    return { holder, acquiredOffset: offset, renewedOffset: offset };
  }
  if (after !== lease.acquiredOffset || holder !== lease.holder) return lease;
  const nextHolder = kind === "renew" ? holder : "";
  return { ...lease, holder: nextHolder, renewedOffset: offset };
}

/** Returns the order if its writer held the lease at that offset. */
export function acceptedOrder(
  lease: Lease,
  record: OrderRecord,
  offset: number,
): Order | undefined {
  const { holder, after, order } = record;
  const isHeld = lease.holder === holder && lease.acquiredOffset === after;
  return isHeld ? { ...order, fencing: offset } : undefined;
}

/**
 * Share of the lease duration by which a holder stops before others may take
 * over. Clocks are taken to drift apart by at most a hundredth of the duration
 * within a lease, so the margin of a tenth is ten times the drift.
 */
const SAFETY_MARGIN_SHARE = 0.1;
/**
 * Number of renewal attempts within one lease duration, so that some may be
 * lost.
 */
const RENEWALS_PER_LEASE = 3;

export type LeaseStep = "none" | "acquire" | "renew";

/** Safeguards that only the fuzzer switches off. */
export interface LeaseSafeguards {
  readonly countsFromSending: boolean;
}

/** The lease as seen by one process, and whether it may act under it. */
export class LeaseHolder {
  private lease: Lease = noLease;
  /** When this process read the latest renewal. */
  private renewalSeenAt: number;
  /** Until when this process certainly holds the lease. */
  private heldUntil = Number.NEGATIVE_INFINITY;
  private lastAppendAt = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly holder: string,
    private readonly durationMs: number,
    now: number,
    private readonly safeguards: LeaseSafeguards,
  ) {
    this.renewalSeenAt = now;
  }

  static create(
    holder: string,
    durationMs: number,
    now: number,
    safeguards: LeaseSafeguards = { countsFromSending: true },
  ): LeaseHolder {
    return new LeaseHolder(holder, durationMs, now, safeguards);
  }

  get current(): Lease {
    return this.lease;
  }

  /** Whether this process certainly holds the lease. */
  holds(now: number): boolean {
    return this.lease.holder === this.holder && now < this.heldUntil;
  }

  /** The record to append now, if any. */
  next(now: number): LeaseStep {
    const { holder } = this.lease;
    const { durationMs } = this;
    const intervalMs = durationMs / RENEWALS_PER_LEASE;
    if (now < this.lastAppendAt + intervalMs) return "none";
    if (holder === this.holder) return "renew";
    const isFree = holder === "" || now >= this.renewalSeenAt + durationMs;
    return isFree ? "acquire" : "none";
  }

  /**
   * Creates the record for a step. The lease counts from `now`, before the
   * record is sent.
   */
  record(step: Exclude<LeaseStep, "none">, now: number): LeaseRecord {
    this.lastAppendAt = now;
    const { holder, lease } = this;
    const after =
      step === "acquire" ? lease.renewedOffset : lease.acquiredOffset;
    return { kind: step, holder, after, sentAt: now };
  }

  /**
   * Applies a record read from the log, which also shows whether an append of
   * this process succeeded.
   */
  observe(record: LeaseRecord, offset: number, now: number): void {
    const before = this.lease;
    this.lease = applyLeaseRecord(before, record, offset);
    if (this.lease === before) return;
    this.renewalSeenAt = now;
    if (this.lease.holder !== this.holder) return;
    // The holder counts from before its append, the others from when they read
    // the record: however late the record is read here, the holder stops first.
    const safeMs = this.durationMs * (1 - SAFETY_MARGIN_SHARE);
    const countedFrom = this.safeguards.countsFromSending ? record.sentAt : now;
    this.heldUntil = Math.max(this.heldUntil, countedFrom + safeMs);
  }
}
