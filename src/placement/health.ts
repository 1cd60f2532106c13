/**
 * Ejects a runner after consecutive failures and then probes it with one
 * request at a time. Without this, a runner that fails fast would look idle and
 * attract all requests.
 */
import type { Random } from "../internal.js";

/**
 * Consecutive failures that eject a runner. A single one may be caused by the
 * request; three different requests in a row point to the runner.
 */
const FAILURE_LIMIT = 3;
/** Time to the first probe; an engine takes seconds to restart. */
const INITIAL_EJECTION_MS = 1000;
/** Bounds how long a recovered runner waits for its next probe. */
const MAXIMUM_EJECTION_MS = 4000;
/** Consecutive successful probes that end an ejection. */
const PROBES_TO_RECOVER = 2;

export class RunnerHealth {
  private consecutiveFailures = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;
  private consecutivePassedProbes = 0;
  private isProbeRunning = false;

  private constructor(private readonly random: Random) {}

  static create(random: Random): RunnerHealth {
    return new RunnerHealth(random);
  }

  get isEjected(): boolean {
    return this.ejections > 0;
  }

  /** Time from which the next probe may start; 0 if not ejected. */
  get probeAtMs(): number {
    return this.ejectedUntilMs;
  }

  isAvailable(nowMs: number): boolean {
    if (this.ejections === 0) return true;
    return !this.isProbeRunning && nowMs >= this.ejectedUntilMs;
  }

  onPlaced(): void {
    if (this.ejections > 0) this.isProbeRunning = true;
  }

  /** The attempt ended without showing whether the runner works. */
  onInconclusive(): void {
    this.isProbeRunning = false;
  }

  /** True if this success ended the ejection. */
  onSucceeded(): boolean {
    this.consecutiveFailures = 0;
    this.isProbeRunning = false;
    if (this.ejections === 0) return false;
    this.consecutivePassedProbes += 1;
    if (this.consecutivePassedProbes < PROBES_TO_RECOVER) return false;
    this.ejections = 0;
    this.ejectedUntilMs = 0;
    return true;
  }

  /** True if this failure ejected the runner. */
  onFailed(nowMs: number): boolean {
    this.consecutiveFailures += 1;
    this.isProbeRunning = false;
    this.consecutivePassedProbes = 0;
    const wasEjected = this.ejections > 0;
    if (!wasEjected && this.consecutiveFailures < FAILURE_LIMIT) return false;
    // Requests placed before the ejection may still fail from the same fault;
    // counting each of them would double the wait many times over.
    if (wasEjected && nowMs < this.ejectedUntilMs) return false;
    const backoffMs = INITIAL_EJECTION_MS * 2 ** this.ejections;
    const waitMs = Math.min(MAXIMUM_EJECTION_MS, backoffMs);
    // Entries see the same failure at the same time; without jitter they would
    // also probe at the same time.
    this.ejectedUntilMs = nowMs + waitMs * (0.5 + this.random() / 2);
    this.ejections += 1;
    return !wasEjected;
  }
}
