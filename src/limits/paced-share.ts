/**
 * One entry's share of a rate that must hold in every single second. Turns are
 * never saved up: after one was used, the next comes a whole period later. In
 * any second an entry therefore uses at most its share of the rate and one
 * request, whenever it looks.
 */
import type { Now, Random } from "../internal.js";

export interface PacedShareInputs {
  readonly now: Now;
  readonly random: Random;
  /** Time between two turns, ms. */
  readonly periodMs: number;
}

export class PacedShare {
  private periodMs: number;
  private nextTurnAtMs: number;

  private constructor(private readonly inputs: PacedShareInputs) {
    const { now, random, periodMs } = inputs;
    this.periodMs = periodMs;
    // Entries that learn of a cold runner together must not begin together.
    this.nextTurnAtMs = now() + random() * periodMs;
  }

  static create(inputs: PacedShareInputs): PacedShare {
    return new PacedShare(inputs);
  }

  /** Whether a request may be sent now. */
  get isOpen(): boolean {
    return this.nextTurnAtMs <= this.inputs.now();
  }

  /** A request is sent. */
  take(): void {
    this.nextTurnAtMs = this.inputs.now() + this.periodMs;
  }

  /** A shorter period takes effect at once, a longer one with the next turn. */
  setPeriod(periodMs: number): void {
    const latestAtMs = this.inputs.now() + periodMs;
    if (periodMs < this.periodMs) {
      this.nextTurnAtMs = Math.min(this.nextTurnAtMs, latestAtMs);
    }
    this.periodMs = periodMs;
  }
}
