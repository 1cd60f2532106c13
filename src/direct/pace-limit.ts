/**
 * How many requests one entry runs at once at a group, found from the pace of
 * its streams. All ranks of a group share one step, and it grows with every
 * request that runs: past a point all streams of the group are late together.
 * Each entry sees that step as the pauses of its own streams, so entries find
 * a common limit without telling each other anything.
 *
 * Additive increase below a target, multiplicative decrease above it, at most
 * once in the time that a change needs to show. Nothing is at rest between the
 * two: the larger limits give up more and all gain alike, so that the shares of
 * entries even out. With a range in which limits stay, or with increases in
 * proportion, an entry that once has little keeps little, and callers of its
 * data centre are refused several times as often as the others.
 */
import type { Emit, Now } from "../internal.js";

export interface PaceLimitInputs {
  readonly now: Now;
  readonly emit: Emit;
  /** Group, or service without groups. */
  readonly group: string;
}

/** Part of the pause objective at which the mean pause is kept. */
const TARGET_SHARE = 0.85;
/** Above this part of it many streams are late, because pauses spread. */
const LATE_SHARE = 0.9;
/** Share of a new pause in the mean. */
const PAUSE_SHARE = 0.05;
/** What is left of the limit above the target, and above the late share. */
const DECREASE = 0.95;
const LATE_DECREASE = 0.85;
/** Requests by which the limit rises in one interval. */
const INCREASE = 1;
/**
 * Factor by which it rises until the target is first passed. One request at a
 * time, an entry would refuse callers for seconds after its start.
 */
const SEARCH_GROWTH = 1.5;
/** A change of the limit shows in the pauses after about this time, ms. */
const INTERVAL_MS = 250;
/**
 * The first limit: an entry doesn't know how many others there are. With less
 * it can't even tell that the pace is good.
 */
const LEAST_LIMIT = 4;

export class PaceLimit {
  /** Not a whole number: small decreases have to count. */
  private limit = LEAST_LIMIT;
  private isSearching = true;
  private meanPauseMs = 0;
  private objectiveMs = Number.POSITIVE_INFINITY;
  private eventAtMs = Number.NEGATIVE_INFINITY;
  private changedAtMs = 0;

  private constructor(private readonly inputs: PaceLimitInputs) {}

  static create(inputs: PaceLimitInputs): PaceLimit {
    return new PaceLimit(inputs);
  }

  /** Requests that may run at once. */
  roomFor(slots: number): number {
    return Math.min(Math.floor(this.limit), Math.max(slots, 1));
  }

  /** Whether the mean pause has come close to the objective or passed it. */
  get isLate(): boolean {
    return this.meanPauseMs > this.objectiveMs * LATE_SHARE;
  }

  /** Monotonic time of the last event of any of the streams, ms. */
  get lastEventAtMs(): number {
    return this.eventAtMs;
  }

  /**
   * A stream's event came `pauseMs` after the one before. `countRunning` is called
   * only where a decision is due, not for each event.
   */
  onPause(
    pauseMs: number,
    objectiveMs: number,
    countRunning: () => number,
  ): void {
    const change = PAUSE_SHARE * (pauseMs - this.meanPauseMs);
    this.meanPauseMs += change;
    this.objectiveMs = objectiveMs;
    const nowMs = this.inputs.now();
    this.eventAtMs = nowMs;
    if (nowMs - this.changedAtMs < INTERVAL_MS) return;
    const isAbove = this.meanPauseMs > objectiveMs * TARGET_SHARE;
    const running = countRunning();
    if (isAbove) this.lower(running, nowMs);
    else this.raise(running, nowMs);
  }

  private lower(running: number, nowMs: number): void {
    this.isSearching = false;
    // Not in effect yet: the pauses still show what ran before it.
    if (running > this.limit) return;
    const factor = this.isLate ? LATE_DECREASE : DECREASE;
    const lowered = Math.max(LEAST_LIMIT, running * factor);
    if (lowered >= this.limit) return;
    this.limit = lowered;
    this.changedAtMs = nowMs;
    if (!this.isLate) return;
    const { emit, group } = this.inputs;
    const pauseMs = Math.round(this.meanPauseMs);
    emit(213, { group, limit: Math.floor(lowered), pauseMs });
  }

  private raise(running: number, nowMs: number): void {
    this.changedAtMs = nowMs;
    // Room that nobody uses must not grow: a burst would fill it at once.
    if (running < Math.floor(this.limit) - 1) return;
    if (this.isSearching) this.limit *= SEARCH_GROWTH;
    else this.limit += INCREASE;
  }
}
