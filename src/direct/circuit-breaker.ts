/**
 * Stops sending requests to a group whose runners all refuse. While a rank is
 * missing, or while the group forms again after the loss of all its VMs, every
 * runner of the group answers that it hasn't run the request. A caller that is
 * sent there loses both of its attempts within milliseconds, and most callers
 * are on a retry already. In the half second until the group recovered, 55 to
 * 72 callers were lost that way (12 ranks, 45 requests per second).
 *
 * After a few consecutive refusals, requests therefore go to another group or
 * wait, and one trial request at a time checks whether the runners have
 * recovered. Refusals are counted per runner, because those of an earlier
 * incarnation say nothing about a restarted runner.
 */
import type { Now } from "../internal.js";

/**
 * Refusals, with no accepted request in between, that open the breaker. Runners
 * that are merely full refuse now and then while others accept.
 */
const REFUSALS_TO_OPEN = 4;
/** Interval between two trial requests, ms. */
const TRIAL_INTERVAL_MS = 60;
/**
 * Interval between two trial requests while other groups of the service accept
 * requests, ms: a trial then only adds latency.
 */
const ALTERNATIVE_TRIAL_INTERVAL_MS = 500;

/** Why a breaker has closed. */
export type CloseCause = "accepted" | "formed" | "restarted";

export interface CircuitBreakerOptions {
  readonly now: Now;
  /** `runners`: ids of those whose refusals have opened the breaker. */
  readonly onOpened?: (runners: readonly string[]) => void;
  readonly onClosed?: (runners: readonly string[], cause: CloseCause) => void;
}

export class CircuitBreaker {
  /** Refusals since the last accepted request, by runner id. */
  private readonly refusalsByRunner = new Map<string, number>();
  /** Runners whose refusals have opened the breaker; empty while closed. */
  private openedBy: readonly string[] = [];
  private lastTrialAtMs = 0;

  private constructor(private readonly options: CircuitBreakerOptions) {}

  static create(options: CircuitBreakerOptions): CircuitBreaker {
    return new CircuitBreaker(options);
  }

  /** Whether only trial requests are allowed. */
  get isOpen(): boolean {
    return this.countRefusals() >= REFUSALS_TO_OPEN;
  }

  /**
   * Returns whether a request may be sent now. If the breaker is open, a
   * returned true counts as the trial. `hasAlternative`: the request could run
   * in another group.
   */
  tryStart(hasAlternative = false): boolean {
    if (!this.isOpen) return true;
    const nowMs = this.options.now();
    const intervalMs = hasAlternative
      ? ALTERNATIVE_TRIAL_INTERVAL_MS
      : TRIAL_INTERVAL_MS;
    if (nowMs < this.lastTrialAtMs + intervalMs) return false;
    this.lastTrialAtMs = nowMs;
    return true;
  }

  /** The runner has refused a request without running it. */
  onRefused(runner: string): void {
    this.refusalsByRunner.set(
      runner,
      (this.refusalsByRunner.get(runner) ?? 0) + 1,
    );
    if (this.countRefusals() === REFUSALS_TO_OPEN) {
      this.lastTrialAtMs = this.options.now();
    }
    if (!this.isOpen || this.openedBy.length > 0) return;
    this.openedBy = [...this.refusalsByRunner.keys()];
    this.options.onOpened?.(this.openedBy);
  }

  /** A runner has started to respond, or the group has formed again. */
  onAccepted(cause: CloseCause = "accepted"): void {
    this.refusalsByRunner.clear();
    this.reportIfClosed(cause);
  }

  /**
   * The runner has restarted: drops the refusals of its earlier incarnation.
   */
  forgetRunner(runner: string): void {
    this.refusalsByRunner.delete(runner);
    this.reportIfClosed("restarted");
  }

  private reportIfClosed(cause: CloseCause): void {
    if (this.openedBy.length === 0 || this.isOpen) return;
    const runners = this.openedBy;
    this.openedBy = [];
    this.options.onClosed?.(runners, cause);
  }

  private countRefusals(): number {
    let total = 0;
    for (const count of this.refusalsByRunner.values()) total += count;
    return total;
  }
}
