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

/** Part of the pause objective that the mean pause may take. */
const HIGH_SHARE = 0.8;
/** Below this part of the objective more is let in. */
const LOW_SHARE = 0.6;
/** Share of a new pause in the mean. */
const PAUSE_SHARE = 0.05;
const DECREASE = 0.85;
/** Requests that the limit rises by in one interval. */
const INCREASE = 1;
/** A change of the limit shows in the pauses after about this time, ms. */
const INTERVAL_MS = 250;
/** Less than this and an entry can't even tell that the pace is good again. */
const LEAST_LIMIT = 4;
/** Before anything is known: all slots of the service. */
const UNLIMITED = Number.POSITIVE_INFINITY;

export class PaceLimit {
  private limit = UNLIMITED;
  private meanPauseMs = 0;
  private changedAtMs = 0;

  private constructor(private readonly inputs: PaceLimitInputs) {}

  static create(inputs: PaceLimitInputs): PaceLimit {
    return new PaceLimit(inputs);
  }

  hasRoom(running: number, slots: number): boolean {
    return running < Math.min(this.limit, Math.max(slots, 1));
  }

  /** A stream's event came `pauseMs` after the one before. */
  onPause(pauseMs: number, objectiveMs: number, running: number): void {
    const change = PAUSE_SHARE * (pauseMs - this.meanPauseMs);
    this.meanPauseMs += change;
    const nowMs = this.inputs.now();
    if (nowMs - this.changedAtMs < INTERVAL_MS) return;
    if (this.meanPauseMs > objectiveMs * HIGH_SHARE) {
      this.lower(running, nowMs);
    } else if (this.meanPauseMs < objectiveMs * LOW_SHARE) {
      this.raise(running, nowMs);
    }
  }

  private lower(running: number, nowMs: number): void {
    const from = Math.min(this.limit, running);
    const limit = Math.max(LEAST_LIMIT, Math.floor(from * DECREASE));
    if (limit >= this.limit) return;
    this.limit = limit;
    this.changedAtMs = nowMs;
    const pauseMs = Math.round(this.meanPauseMs);
    this.inputs.emit(213, { service: this.inputs.service, limit, pauseMs });
  }

  private raise(running: number, nowMs: number): void {
    this.changedAtMs = nowMs;
    // Room that nobody uses must not grow: a burst would fill it at once.
    if (running < this.limit - INCREASE) return;
    this.limit += INCREASE;
  }
}
