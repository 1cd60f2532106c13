/**
 * One entry's share of a rate that several entries share. Turns come at regular
 * times with a random phase, and a turn that isn't used within half a second is
 * lost. If entries saved up turns, all of them could use theirs at the same
 * moment, and the sum would exceed the rate by as many requests as there are
 * entries.
 */
import type { Now, Random } from "../internal.js";

/** Time for which a turn stays valid, ms. */
const TURN_VALIDITY_MS = 500;

const MS_PER_SECOND = 1000;

export interface RateShareInputs {
  readonly now: Now;
  readonly random: Random;
  readonly requestsPerSecond: number;
}

export class RateShare {
  private readonly periodMs: number;
  private nextTurnAtMs: number;

  private constructor(private readonly inputs: RateShareInputs) {
    const { now, random, requestsPerSecond } = inputs;
    this.periodMs = MS_PER_SECOND / requestsPerSecond;
    this.nextTurnAtMs = now() + random() * this.periodMs;
  }

  static create(inputs: RateShareInputs): RateShare {
    return new RateShare(inputs);
  }

  /** Whether a request may be sent now. */
  get isOpen(): boolean {
    this.skipLostTurns();
    return this.nextTurnAtMs <= this.inputs.now();
  }

  /** A request is sent. */
  take(): void {
    this.skipLostTurns();
    this.nextTurnAtMs += this.periodMs;
  }

  private skipLostTurns(): void {
    const lostMs = this.inputs.now() - TURN_VALIDITY_MS - this.nextTurnAtMs;
    if (lostMs <= 0) return;
    this.nextTurnAtMs += Math.ceil(lostMs / this.periodMs) * this.periodMs;
  }
}
