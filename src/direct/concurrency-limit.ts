/**
 * Adaptive limit for the concurrent requests of one entry in a group. All ranks
 * of a group share one step, whose duration grows with every running request:
 * beyond some load all streams of the group are late. Each entry measures the
 * step as the pauses between events of its own streams, so entries converge on
 * a common limit without communicating.
 *
 * The limit is controlled by additive increase below a target pause and
 * multiplicative decrease above it, at most once in the time that a change
 * takes to show. There is no dead band between the two: larger limits lose more
 * and all limits gain the same, so the shares of the entries converge. With a
 * dead band, or with a proportional increase, an entry whose share is small
 * keeps it, and callers of its data centre are refused several times as often
 * as the others.
 */
import type { Emit, Measurements, Now } from "../internal.js";

export interface ConcurrencyLimitInputs {
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
  /** Name of the group, or of a service without groups. */
  readonly group: string;
}

/** Target of the mean pause, as a share of the pause objective. */
const TARGET_PAUSE_SHARE = 0.85;
/**
 * Share of the pause objective above which many streams are late, because
 * pauses vary around their mean.
 */
const LATE_PAUSE_SHARE = 0.9;
/** Weight of a new pause in the exponential moving average. */
const PAUSE_SMOOTHING_FACTOR = 0.05;
/**
 * Factors by which the limit is lowered above the target, and above the late
 * share.
 */
const DECREASE_FACTOR = 0.95;
const LATE_DECREASE_FACTOR = 0.85;
/** Additive increase per interval, requests. */
const INCREASE_REQUESTS = 1;
/**
 * Growth per interval until the target is first exceeded. With the additive
 * increase alone, an entry would refuse callers for seconds after its start.
 */
const SLOW_START_FACTOR = 1.5;
/** Time after which a change of the limit shows in the pauses, ms. */
const ADJUSTMENT_INTERVAL_MS = 250;
/**
 * Initial and minimum limit, requests. An entry doesn't know how many other
 * entries there are; with fewer requests it can't measure the pauses well
 * enough to raise the limit.
 */
const MINIMUM_LIMIT = 4;

export class ConcurrencyLimit {
  /** Requests; fractional, so that small decreases accumulate. */
  private limit = MINIMUM_LIMIT;
  private isSlowStarting = true;
  private meanPauseMs = 0;
  private objectiveMs = Number.POSITIVE_INFINITY;
  private latestEventAtMs = Number.NEGATIVE_INFINITY;
  private adjustedAtMs = 0;

  private constructor(private readonly inputs: ConcurrencyLimitInputs) {}

  static create(inputs: ConcurrencyLimitInputs): ConcurrencyLimit {
    return new ConcurrencyLimit(inputs);
  }

  /** Number of requests that may run concurrently. */
  limitFor(slots: number): number {
    return Math.min(Math.floor(this.limit), Math.max(slots, 1));
  }

  /** Whether the mean pause is close to the objective or above it. */
  get isLate(): boolean {
    return this.meanPauseMs > this.objectiveMs * LATE_PAUSE_SHARE;
  }

  /** Monotonic time of the last event of any stream, ms. */
  get lastEventAtMs(): number {
    return this.latestEventAtMs;
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
    const change = PAUSE_SMOOTHING_FACTOR * (pauseMs - this.meanPauseMs);
    this.meanPauseMs += change;
    this.objectiveMs = objectiveMs;
    const nowMs = this.inputs.now();
    this.latestEventAtMs = nowMs;
    if (nowMs - this.adjustedAtMs < ADJUSTMENT_INTERVAL_MS) return;
    const isAboveTarget = this.meanPauseMs > objectiveMs * TARGET_PAUSE_SHARE;
    const running = countRunning();
    if (isAboveTarget) this.lower(running, nowMs);
    else this.raise(running, nowMs);
    this.report();
  }

  private report(): void {
    const { group, measurements } = this.inputs;
    measurements.set("groupLimit", Math.floor(this.limit), { group });
    measurements.set("groupPause", this.meanPauseMs / 1000, { group });
  }

  private lower(running: number, nowMs: number): void {
    this.isSlowStarting = false;
    // The previous decrease hasn't taken effect: more requests run than the
    // limit allows.
    if (running > this.limit) return;
    const factor = this.isLate ? LATE_DECREASE_FACTOR : DECREASE_FACTOR;
    const lowered = Math.max(MINIMUM_LIMIT, running * factor);
    if (lowered >= this.limit) return;
    this.limit = lowered;
    this.adjustedAtMs = nowMs;
    if (!this.isLate) return;
    const { emit, group } = this.inputs;
    const pauseMs = Math.round(this.meanPauseMs);
    emit(213, { group, limit: Math.floor(lowered), pauseMs });
  }

  private raise(running: number, nowMs: number): void {
    this.adjustedAtMs = nowMs;
    // An unused limit must not grow, or a burst would fill it at once.
    if (running < Math.floor(this.limit) - 1) return;
    if (this.isSlowStarting) this.limit *= SLOW_START_FACTOR;
    else this.limit += INCREASE_REQUESTS;
  }
}
