/**
 * Adaptive limit for the concurrent requests of one entry at the runners of a
 * service without streams (additive increase, multiplicative decrease). It
 * grows with responses in time while it is used, up to the runners' places, and
 * falls with late responses and with refusals by full runners, so that entries
 * that share the runners find their parts without communicating.
 */
import type { Now } from "../internal.js";
import type { RunningLimit } from "./running-limit.js";

export interface PlainLimitInputs {
  readonly now: Now;
}

/** Least limit, requests, unless the runners have fewer places. */
const MINIMUM_LIMIT = 4;
/** Initial share of the runners' places. */
const INITIAL_SHARE_OF_PLACES = 0.5;
/** Share of the objective above which a response counts as late. */
const LATE_SHARE_OF_OBJECTIVE = 0.9;
/** Factor of a decrease. */
const DECREASE = 0.5;
/**
 * Time after a refusal in which the limit doesn't grow, ms: other entries use
 * the places.
 */
const GROWTH_PAUSE_MS = 2000;
/** Time after which a decrease shows in the responses, ms. */
const DECREASE_INTERVAL_MS = 250;

export class PlainLimit implements RunningLimit {
  /** Requests; fractional, so that small changes accumulate. */
  private limit = MINIMUM_LIMIT;
  private isSlowStarting = true;
  private decreasedAtMs = Number.NEGATIVE_INFINITY;
  private refusedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly inputs: PlainLimitInputs) {}

  static create(inputs: PlainLimitInputs): PlainLimit {
    return new PlainLimit(inputs);
  }

  /** `slots`: places of the runners that may get requests. */
  limitFor(slots: number): number {
    if (this.isSlowStarting) {
      this.limit = Math.max(this.limit, slots * INITIAL_SHARE_OF_PLACES);
    }
    return Math.min(Math.floor(this.limit), Math.max(slots, 1));
  }

  /**
   * A runner has responded. `running`: requests of this entry that ran until
   * then; `slots`: as for `limitFor`.
   */
  onResponse(
    durationMs: number,
    objectiveMs: number,
    running: number,
    slots: number,
  ): void {
    if (durationMs > objectiveMs * LATE_SHARE_OF_OBJECTIVE) {
      this.decrease();
      return;
    }
    if (this.inputs.now() < this.refusedAtMs + GROWTH_PAUSE_MS) return;
    // An unused limit must not grow, or a burst would fill it at once.
    if (running < this.limitFor(slots) - 1 || this.limit >= slots) return;
    this.limit += this.isSlowStarting ? 1 : 1 / this.limit;
  }

  /** A full runner has refused a request. */
  onRefused(): void {
    this.refusedAtMs = this.inputs.now();
    this.decrease();
  }

  private decrease(): void {
    const nowMs = this.inputs.now();
    this.isSlowStarting = false;
    if (nowMs < this.decreasedAtMs + DECREASE_INTERVAL_MS) return;
    this.decreasedAtMs = nowMs;
    this.limit = Math.max(MINIMUM_LIMIT, this.limit * DECREASE);
  }
}
