/**
 * The lease for giving orders, and the orders themselves, kept on a stream of
 * the platform's log. Who holds the lease and which orders count is a function
 * of the log alone, so everybody computes the same. The offset of an order's
 * record is its fencing number: a later order always has the higher one.
 *
 * The time limit only tells others when they may try to take over. It isn't
 * what makes a paused holder harmless: its late record follows on a lease that
 * is no longer in force and counts for nothing, and an order that counted
 * before is fenced by the engine, or by the agent beside it.
 */
import type { Order } from "../internal.js";

export interface LeaseRecord {
  readonly kind: "acquire" | "renew" | "release";
  readonly holder: string;
  /**
   * What it follows on, as its writer knew it: the latest renewal for
   * `acquire`, the lease itself for the others.
   */
  readonly after: number;
  /** The writer's own clock before the append; others don't read it. */
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
  readonly number: number;
  /** Offset of the record that acquired or renewed it last. */
  readonly renewal: number;
}

/** No lease was ever acquired. */
export const noLease: Lease = { holder: "", number: -1, renewal: -1 };

/**
 * The lease after one more record. A record that follows on another lease than
 * the one in force lost a race and changes nothing.
 */
export function applyLeaseRecord(
  lease: Lease,
  record: LeaseRecord,
  offset: number,
): Lease {
  const { kind, holder, after } = record;
  if (kind === "acquire") {
    // A writer that reads the log late takes its lag for the holder's silence;
    // it doesn't know the renewal that came meanwhile, and so it fails.
    if (after !== lease.renewal) return lease;
    return { holder, number: offset, renewal: offset };
  }
  if (after !== lease.number || holder !== lease.holder) return lease;
  const remains = kind === "renew" ? holder : "";
  return { ...lease, holder: remains, renewal: offset };
}

/** The order of a record, when its writer held the lease at that place. */
export function acceptedOrder(
  lease: Lease,
  record: OrderRecord,
  offset: number,
): Order | undefined {
  const { holder, after, order } = record;
  const held = lease.holder === holder && lease.number === after;
  return held ? { ...order, fencing: offset } : undefined;
}

/**
 * A holder stops this long before others may take over, so that clocks which
 * drift apart by a hundredth within a lease still agree that it has ended.
 */
const MARGIN_SHARE = 0.1;
/** Renewals that may be lost before the lease lapses. */
const RENEWALS_PER_LEASE = 3;

export type LeaseStep = "none" | "acquire" | "renew";

/** Switched off only by the fuzzer. */
export interface LeaseSafeguards {
  readonly countsFromSending: boolean;
}

/** One process's view of the lease, and when it may act under it. */
export class LeaseHolder {
  private lease: Lease = noLease;
  /** When the latest renewal was read here. */
  private seenAt: number;
  /** Until when the own lease certainly holds. */
  private heldUntil = Number.NEGATIVE_INFINITY;
  private appendedAt = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly holder: string,
    private readonly durationMs: number,
    now: number,
    private readonly safeguards: LeaseSafeguards,
  ) {
    this.seenAt = now;
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

  /** The lease is held here for certain. */
  holds(now: number): boolean {
    return this.lease.holder === this.holder && now < this.heldUntil;
  }

  /** What to append now, if anything. */
  next(now: number): LeaseStep {
    const { holder } = this.lease;
    const { durationMs } = this;
    const pause = durationMs / RENEWALS_PER_LEASE;
    if (now < this.appendedAt + pause) return "none";
    if (holder === this.holder) return "renew";
    const free = holder === "" || now >= this.seenAt + durationMs;
    return free ? "acquire" : "none";
  }

  /** The record for a step; the time counts from before it is sent. */
  record(step: Exclude<LeaseStep, "none">, now: number): LeaseRecord {
    this.appendedAt = now;
    const { holder, lease } = this;
    const after = step === "acquire" ? lease.renewal : lease.number;
    return { kind: step, holder, after, sentAt: now };
  }

  /** A record was read from the log; whether an append landed shows here. */
  observe(record: LeaseRecord, offset: number, now: number): void {
    const before = this.lease;
    this.lease = applyLeaseRecord(before, record, offset);
    if (this.lease === before) return;
    this.seenAt = now;
    if (this.lease.holder !== this.holder) return;
    // Counted from before the append, while others count from when they read
    // it: however late the record is read here, this side stops first.
    const safe = this.durationMs * (1 - MARGIN_SHARE);
    const from = this.safeguards.countsFromSending ? record.sentAt : now;
    this.heldUntil = Math.max(this.heldUntil, from + safe);
  }
}
