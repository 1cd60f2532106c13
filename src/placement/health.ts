/**
 * Whether a runner gets work. Made for a runner that fails fast: it looks idle
 * and would draw all work to itself. After a few failures in a row it is left
 * out, then tried with one request at a time.
 */
import type { Random } from "../internal.js";

/**
 * One failure may be the request's own fault; three in a row on different
 * requests are the runner's.
 */
const FAILURES_TO_EJECT = 3;
/** A restart of an engine takes seconds; a first probe after one second. */
const FIRST_EJECTION_MS = 1000;
/** A runner that came back waits this long at most for its next probe, ms. */
const LONGEST_EJECTION_MS = 4000;
/** Successful probes in a row before it gets work as the others do. */
const PROBES_TO_RECOVER = 2;

export class RunnerHealth {
  private failures = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;
  private probesPassed = 0;
  private probeRunning = false;

  private constructor(private readonly random: Random) {}

  static create(random: Random): RunnerHealth {
    return new RunnerHealth(random);
  }

  get isEjected(): boolean {
    return this.ejections > 0;
  }

  /** Time of the next probe; 0 for a runner that gets work. */
  get probeAtMs(): number {
    return this.ejectedUntilMs;
  }

  mayTake(nowMs: number): boolean {
    if (this.ejections === 0) return true;
    return !this.probeRunning && nowMs >= this.ejectedUntilMs;
  }

  onPlaced(): void {
    if (this.ejections > 0) this.probeRunning = true;
  }

  /** The attempt ended without telling anything about the runner. */
  onNoVerdict(): void {
    this.probeRunning = false;
  }

  /** True when the runner has just recovered. */
  onSucceeded(): boolean {
    this.failures = 0;
    this.probeRunning = false;
    if (this.ejections === 0) return false;
    this.probesPassed += 1;
    if (this.probesPassed < PROBES_TO_RECOVER) return false;
    this.ejections = 0;
    this.ejectedUntilMs = 0;
    return true;
  }

  /** True when the runner has just been left out. */
  onFailed(nowMs: number): boolean {
    this.failures += 1;
    this.probeRunning = false;
    this.probesPassed = 0;
    const wasEjected = this.ejections > 0;
    if (!wasEjected && this.failures < FAILURES_TO_EJECT) return false;
    // Late failures of requests placed before the ejection are one and the
    // same fault; counting each would double the wait many times over.
    if (wasEjected && nowMs < this.ejectedUntilMs) return false;
    const doubled = FIRST_EJECTION_MS * 2 ** this.ejections;
    const waitMs = Math.min(LONGEST_EJECTION_MS, doubled);
    // Entries see the same failure at once; without jitter they would all
    // probe at once as well.
    this.ejectedUntilMs = nowMs + waitMs * (0.5 + this.random() / 2);
    this.ejections += 1;
    return !wasEjected;
  }
}
