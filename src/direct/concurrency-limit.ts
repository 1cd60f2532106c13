/**
 * Adaptive limit for the concurrent requests of one entry in a group. All ranks
 * of a group share one step, whose duration grows with every running request:
 * beyond some load all streams of the group are late. Each entry measures the
 * step as the pauses between events of its own streams, so entries converge on
 * a common limit without communicating.
 *
 * A stream is late if any of its pauses exceeds the objective, so the target of
 * the mean pause follows from how many pauses do. The limit changes in
 * proportion to the distance from that target. All entries measure the same
 * distance, so the group's load changes by the same proportion however many
 * entries there are.
 *
 * The target falls as the limit grows (droop control): at the same pause, an
 * entry with a large limit lowers it while one with a small limit raises it, so
 * the shares of the entries converge. Without droop, each entry keeps the share
 * that it happens to have, and callers of a data centre whose entries have
 * small ones are refused several times as often as the others.
 *
 * While a view of all entries' load is there, the limits are divided by what
 * each entry has to run instead, and droop follows from the mean limit: by each
 * entry's own, it would even out what demand has divided.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import { PauseStatistics } from "./pause-statistics.js";
import type { RunningLimit } from "./running-limit.js";

export interface ConcurrencyLimitInputs {
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
  /** Name of the group, or of a service without groups. */
  readonly group: string;
}

/** A division of the group's limit among all entries, by demand. */
export interface SharedLimit {
  /** This entry's share, requests. */
  readonly limit: number;
  /** Requests that may run until places of other entries become free. */
  readonly startable: number;
  /** Sum of all entries' limits, requests. */
  readonly capacity: number;
  /** Running requests of all entries. */
  readonly running: number;
  readonly entries: number;
  /** `adjustment` when this entry reported the limit that is in `capacity`. */
  readonly adjustment: number;
}

/** Share of the pause objective above which the streams count as late. */
const LATE_PAUSE_SHARE = 0.9;
/** Relative change of the limit per relative distance from the target. */
const PROPORTIONAL_GAIN = 0.7;
/** Maximum relative distance that is acted on at once. */
const MAXIMUM_DISTANCE = 0.3;
/** Relative change of the target as the limit changes by a factor of e. */
const DROOP = 0.1;
/** Limit at which the droop is zero, requests. */
const DROOP_REFERENCE = 8;
/**
 * Relative growth per relative distance until the target is first exceeded.
 * With the usual gain, an entry would refuse callers for seconds after its
 * start.
 */
const SLOW_START_GAIN = 1.5;
/** Time after which a change of the limit shows in the pauses, ms. */
const ADJUSTMENT_INTERVAL_MS = 250;
/** Initial limit, requests. */
const INITIAL_LIMIT = 4;
/** Minimum limit, requests; the pauses are measured with the running ones. */
const MINIMUM_LIMIT = 1;
/** Minimum part of a shared limit that has to be used before it grows. */
const MINIMUM_USED_SHARE = 0.5;

export class ConcurrencyLimit implements RunningLimit {
  /** Requests; fractional, so that small changes accumulate. */
  private limit = INITIAL_LIMIT;
  private isSlowStarting = true;
  private readonly pauses = PauseStatistics.create();
  private objectiveMs = Number.POSITIVE_INFINITY;
  private adjustedAtMs = 0;
  private shared: SharedLimit | undefined;
  private product = 1;

  private constructor(private readonly inputs: ConcurrencyLimitInputs) {}

  static create(inputs: ConcurrencyLimitInputs): ConcurrencyLimit {
    return new ConcurrencyLimit(inputs);
  }

  /** Number of requests that may run concurrently. */
  limitFor(slots: number): number {
    const startable = this.shared?.startable ?? Number.POSITIVE_INFINITY;
    const limit = Math.floor(Math.min(this.limit, startable));
    return Math.min(limit, Math.max(slots, 1));
  }

  /** Requests; fractional. */
  get share(): number {
    return this.limit;
  }

  /** Product of all changes of the limit that followed from pauses. */
  get adjustment(): number {
    return this.product;
  }

  /**
   * Takes the entry's share as its limit. Changes by pauses that the division
   * doesn't know yet are applied to it.
   */
  applyShare(shared: SharedLimit): void {
    const change = this.product / shared.adjustment;
    this.shared = { ...shared, startable: shared.startable * change };
    this.limit = Math.max(MINIMUM_LIMIT, shared.limit * change);
  }

  /** The view is gone: the limit goes on from where it is. */
  endSharing(): void {
    this.shared = undefined;
  }

  /** Whether the mean pause is close to the objective or above it. */
  get isLate(): boolean {
    return this.pauses.meanMs > this.objectiveMs * LATE_PAUSE_SHARE;
  }

  /** Monotonic time of the last event of any stream, ms. */
  get lastEventAtMs(): number {
    return this.pauses.lastAtMs;
  }

  /**
   * Records that a stream's event came `pauseMs` after the previous one.
   * `countRunning` is called only when the limit is due for adjustment, not for
   * each event.
   */
  onPause(
    pauseMs: number,
    objectiveMs: number,
    countRunning: () => number,
  ): void {
    const nowMs = this.inputs.now();
    this.pauses.add(pauseMs, objectiveMs, nowMs);
    this.objectiveMs = objectiveMs;
    if (nowMs - this.adjustedAtMs < ADJUSTMENT_INTERVAL_MS) return;
    const distance = this.distanceFromTarget();
    if (distance > 0) this.lower(countRunning(), distance, nowMs);
    else this.raise(countRunning(), distance, nowMs);
    this.report();
  }

  /** Relative distance of the mean pause from this entry's target. */
  private distanceFromTarget(): number {
    const { meanMs, targetShare } = this.pauses;
    const targetMs = this.objectiveMs * targetShare;
    const { limit, entries } = this.usageWith(0);
    const droop = DROOP * Math.log(limit / entries / DROOP_REFERENCE);
    const distance = meanMs / targetMs - 1 + droop;
    return Math.max(-MAXIMUM_DISTANCE, Math.min(MAXIMUM_DISTANCE, distance));
  }

  private lower(running: number, distance: number, nowMs: number): void {
    this.isSlowStarting = false;
    // The previous decrease hasn't taken effect: more requests run than the
    // limit allows.
    const usage = this.usageWith(running);
    if (usage.running > usage.limit) return;
    this.adjustedAtMs = nowMs;
    // An unused part of the limit adds nothing to the load.
    const unused = usage.limit - usage.running - usage.entries;
    const usedShare = 1 - Math.max(0, unused) / usage.limit;
    this.adjust(usedShare * (1 - PROPORTIONAL_GAIN * distance));
    if (!this.isLate) return;
    const { emit, group } = this.inputs;
    const pauseMs = Math.round(this.pauses.meanMs);
    emit(213, { group, limit: Math.floor(this.limit), pauseMs });
  }

  private raise(running: number, distance: number, nowMs: number): void {
    this.adjustedAtMs = nowMs;
    // An unused limit must not grow, or a burst would fill it at once.
    if (!this.isUsed(running)) return;
    const gain = this.isSlowStarting ? SLOW_START_GAIN : PROPORTIONAL_GAIN;
    this.adjust(1 - gain * distance);
  }

  private adjust(factor: number): void {
    const limit = Math.max(MINIMUM_LIMIT, this.limit * factor);
    this.product *= limit / this.limit;
    this.limit = limit;
  }

  private isUsed(running: number): boolean {
    if (this.shared === undefined) return running >= Math.floor(this.limit) - 1;
    const { running: total, limit, entries } = this.usageWith(running);
    // Each entry may have one place unused, as its share is rounded.
    return total >= Math.max(limit - entries, limit * MINIMUM_USED_SHARE);
  }

  /** Of all entries while the limit is shared, otherwise of this one. */
  private usageWith(running: number): {
    readonly running: number;
    readonly limit: number;
    readonly entries: number;
  } {
    const { shared, limit } = this;
    if (shared === undefined) return { running, limit, entries: 1 };
    const { capacity, adjustment, entries } = shared;
    const adjusted = capacity * (this.product / adjustment);
    return { running: shared.running, limit: adjusted, entries };
  }

  private report(): void {
    const { group, measurements } = this.inputs;
    measurements.set("groupLimit", Math.floor(this.limit), { group });
    measurements.set("groupPause", this.pauses.meanMs / 1000, { group });
  }
}
