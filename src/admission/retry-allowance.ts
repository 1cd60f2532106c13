/**
 * Limits the retries of one pool at one entry to a shared allowance that
 * complete answers refill. With only a cap on the attempts of each request, an
 * outage would multiply the load on the failing runners, and again on those
 * that recover.
 */
import type { Emit, Random } from "../internal.js";

/** Capacity of the allowance: about the retries that a failed rack causes. */
const DEFAULT_MAXIMUM_RETRIES = 20;
/** Retries that a complete answer adds: at most 10% additional attempts. */
const RETRIES_PER_SUCCESS = 0.1;
/** Attempts of one request, including the first. */
const MAXIMUM_ATTEMPTS = 4;
const INITIAL_BACKOFF_MS = 25;
const MAXIMUM_BACKOFF_MS = 2000;

export interface RetryInputs {
  readonly pool: string;
  readonly random: Random;
  readonly emit: Emit;
  /** Capacity of the allowance; `DEFAULT_MAXIMUM_RETRIES` if left out. */
  readonly maximumRetries?: number;
}

export class RetryAllowance {
  private availableRetries: number;
  private isExhausted = false;
  private readonly maximumRetries: number;

  private constructor(private readonly inputs: RetryInputs) {
    this.maximumRetries = inputs.maximumRetries ?? DEFAULT_MAXIMUM_RETRIES;
    this.availableRetries = this.maximumRetries;
  }

  static create(inputs: RetryInputs): RetryAllowance {
    return new RetryAllowance(inputs);
  }

  /**
   * Takes a retry from the allowance and returns the delay before it in ms, or
   * undefined if the request must not be retried. Call it only for requests
   * that may be repeated or that provably weren't started.
   */
  takeRetry(attemptsMade: number): number | undefined {
    if (attemptsMade >= MAXIMUM_ATTEMPTS) return undefined;
    if (this.availableRetries < 1) {
      this.reportExhausted();
      return undefined;
    }
    this.availableRetries -= 1;
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** (attemptsMade - 1);
    // Full jitter spreads the retries of requests that failed together.
    return Math.min(MAXIMUM_BACKOFF_MS, backoffMs) * this.inputs.random();
  }

  /**
   * Refills the allowance. Time doesn't refill it, since further retries during
   * an outage would bring no new information.
   */
  onSuccess(): void {
    const { maximumRetries } = this;
    this.availableRetries = Math.min(
      maximumRetries,
      this.availableRetries + RETRIES_PER_SUCCESS,
    );
    if (!this.isExhausted || this.availableRetries < maximumRetries / 2) return;
    this.isExhausted = false;
    this.inputs.emit(156, { pool: this.inputs.pool });
  }

  private reportExhausted(): void {
    if (this.isExhausted) return;
    this.isExhausted = true;
    this.inputs.emit(155, { pool: this.inputs.pool });
  }
}
