/**
 * How many requests of a service one entry runs at once, found from the pace
 * of its streams. All ranks of a group share one step, and it grows with every
 * request that runs: past a point all streams of the group are late together.
 * Each entry sees that step as the pauses of its own streams, so entries find
 * a common limit without telling each other anything.
 *
 * Additive increase while the pace is good, multiplicative decrease when it
 * isn't, at most once in the time that a change needs to show.
 */
import type { Emit, Now } from "../internal.js";

export interface PaceLimitInputs {
  readonly now: Now;
  readonly emit: Emit;
  readonly service: string;
}

/**
 * Part of the pause objective that the mean pause may take. Pauses spread, so a
 * part of them is longer; every bit less refuses callers who'd be on time.
 */
const HIGH_SHARE = 0.9;
/** Below this part of the objective more is let in. */
const LOW_SHARE = 0.7;
/** Share of a new pause in the mean. */
const PAUSE_SHARE = 0.05;
const DECREASE = 0.85;
/**
 * Part of itself that the limit rises by in one interval, at least one request.
 * By one request alone callers are refused for seconds after a restart.
 */
const INCREASE_SHARE = 0.12;
/** A change of the limit shows in the pauses after about this time, ms. */
const INTERVAL_MS = 250;
/** Less than this and an entry can't even tell that the pace is good again. */
const LEAST_LIMIT = 4;
/**
 * Part of the service's slots that one entry takes before it knows the pace.
 * After a restart of everything all callers come back at once and the engines
 * are at their slowest: with all slots taken every stream would be late.
 */
const FIRST_SHARE = 1 / 6;

export class PaceLimit {
  private limit: number | undefined;
  private meanPauseMs = 0;
  private objectiveMs = Number.POSITIVE_INFINITY;
  private eventAtMs = Number.NEGATIVE_INFINITY;
  private changedAtMs = 0;

  private constructor(private readonly inputs: PaceLimitInputs) {}

  static create(inputs: PaceLimitInputs): PaceLimit {
    return new PaceLimit(inputs);
  }

  hasRoom(running: number, slots: number): boolean {
    this.limit ??= Math.max(LEAST_LIMIT, Math.ceil(slots * FIRST_SHARE));
    return running < Math.min(this.limit, Math.max(slots, 1));
  }

  /** Whether the mean pause has come close to the objective or passed it. */
  get isLate(): boolean {
    return this.meanPauseMs > this.objectiveMs * HIGH_SHARE;
  }

  /** Monotonic time of the last event of any stream of the service, ms. */
  get lastEventAtMs(): number {
    return this.eventAtMs;
  }

  /** A stream's event came `pauseMs` after the one before. */
  onPause(pauseMs: number, objectiveMs: number, running: number): void {
    const change = PAUSE_SHARE * (pauseMs - this.meanPauseMs);
    this.meanPauseMs += change;
    this.objectiveMs = objectiveMs;
    const nowMs = this.inputs.now();
    this.eventAtMs = nowMs;
    if (nowMs - this.changedAtMs < INTERVAL_MS) return;
    if (this.isLate) {
      this.lower(running, nowMs);
    } else if (this.meanPauseMs < objectiveMs * LOW_SHARE) {
      this.raise(running, nowMs);
    }
  }

  private lower(running: number, nowMs: number): void {
    const { limit = running } = this;
    // Not in effect yet: the pauses still show what ran before it.
    if (running > limit) return;
    const lowered = Math.max(LEAST_LIMIT, Math.floor(running * DECREASE));
    if (lowered >= limit) return;
    this.limit = lowered;
    this.changedAtMs = nowMs;
    const { emit, service } = this.inputs;
    const pauseMs = Math.round(this.meanPauseMs);
    emit(213, { service, limit: lowered, pauseMs });
  }

  private raise(running: number, nowMs: number): void {
    const { limit } = this;
    this.changedAtMs = nowMs;
    // Room that nobody uses must not grow: a burst would fill it at once.
    if (limit === undefined || running < limit - 1) return;
    this.limit = limit + Math.max(1, Math.floor(limit * INCREASE_SHARE));
  }
}
