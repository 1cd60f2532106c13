/**
 * Repeated attempts of a pool at one entry come out of one allowance that
 * whole answers refill. Made for an outage: with a plain cap on attempts every
 * request is sent several times to runners that fail, and the same again to
 * those that come back.
 */
import type { Emit, Random } from "../internal.js";

/** Most retries that can be saved up: a rack that fails takes about this. */
const MOST_RETRIES = 20;
/** Retries that one whole answer earns: at most one attempt more in ten. */
const RETRIES_EACH_SUCCESS = 0.1;
/** Attempts of one request, the first included. */
const MOST_ATTEMPTS = 4;
const FIRST_DELAY_MS = 25;
const LONGEST_DELAY_MS = 2000;

export interface RetryInputs {
  readonly pool: string;
  readonly random: Random;
  readonly emit: Emit;
  /** Most retries that can be saved up; by default what a rack takes. */
  readonly mostRetries?: number;
}

export class RetryAllowance {
  private retries: number;
  private isExhausted = false;
  private readonly mostRetries: number;

  private constructor(private readonly inputs: RetryInputs) {
    this.mostRetries = inputs.mostRetries ?? MOST_RETRIES;
    this.retries = this.mostRetries;
  }

  static create(inputs: RetryInputs): RetryAllowance {
    return new RetryAllowance(inputs);
  }

  /**
   * Milliseconds to wait before the next attempt, undefined when there must be
   * none. Called only for requests that may be repeated, or were proved not to
   * have started.
   */
  spend(attemptsMade: number): number | undefined {
    if (attemptsMade >= MOST_ATTEMPTS) return undefined;
    if (this.retries < 1) {
      this.tellExhausted();
      return undefined;
    }
    this.retries -= 1;
    const doubled = FIRST_DELAY_MS * 2 ** (attemptsMade - 1);
    // Full jitter: requests broken by one failure don't return together.
    return Math.min(LONGEST_DELAY_MS, doubled) * this.inputs.random();
  }

  /** Time doesn't refill it: during an outage nothing would be learnt. */
  onSuccess(): void {
    const { mostRetries } = this;
    this.retries = Math.min(mostRetries, this.retries + RETRIES_EACH_SUCCESS);
    if (!this.isExhausted || this.retries < mostRetries / 2) return;
    this.isExhausted = false;
    this.inputs.emit(156, { pool: this.inputs.pool });
  }

  private tellExhausted(): void {
    if (this.isExhausted) return;
    this.isExhausted = true;
    this.inputs.emit(155, { pool: this.inputs.pool });
  }
}
