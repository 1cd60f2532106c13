/**
 * Stops sending to runners that all refuse. A group of ranks refuses as one: while
 * a rank is missing, or while the group forms again after a loss of all VMs, every
 * runner answers that it has not run the request. Each caller that is sent there
 * loses both of its attempts within milliseconds, and most of them have come back
 * once already. In the half second until the group opened 55 to 72 callers were
 * lost that way (12 ranks, 45 requests a second).
 *
 * So after a few refusals in a row requests go elsewhere or wait, and one at a time
 * finds out whether the runners are back. Refusals are counted by runner: those of a
 * runner that has started again tell nothing of its new life.
 */
import type { Now } from "../internal.js";

/**
 * Refusals without an answer between them. Runners that are only full refuse
 * now and then among others that accept.
 */
const REFUSALS_TO_OPEN = 4;
/** Between two requests that find out whether the runners are back, ms. */
const TRIAL_INTERVAL_MS = 60;
/** The same while others of the service accept, and a trial only costs time, ms. */
const SPARE_TRIAL_INTERVAL_MS = 500;

export class CircuitBreaker {
  /** Since the last answer, by the id of the runner that refused. */
  private readonly refusals = new Map<string, number>();
  private triedAtMs = 0;

  private constructor(private readonly now: Now) {}

  static create(now: Now): CircuitBreaker {
    return new CircuitBreaker(now);
  }

  /** Whether nothing but a trial is sent. */
  get isOpen(): boolean {
    return this.countRefusals() >= REFUSALS_TO_OPEN;
  }

  /**
   * Whether a request may be sent now; takes the trial if it is one.
   * `hasAlternative`: it could run elsewhere.
   */
  mayStart(hasAlternative = false): boolean {
    if (!this.isOpen) return true;
    const nowMs = this.now();
    const intervalMs = hasAlternative
      ? SPARE_TRIAL_INTERVAL_MS
      : TRIAL_INTERVAL_MS;
    if (nowMs < this.triedAtMs + intervalMs) return false;
    this.triedAtMs = nowMs;
    return true;
  }

  /** The runner said that it has not run a request. */
  onRefused(runner: string): void {
    this.refusals.set(runner, (this.refusals.get(runner) ?? 0) + 1);
    if (this.countRefusals() === REFUSALS_TO_OPEN) {
      this.triedAtMs = this.now();
    }
  }

  /** A runner has begun to answer. */
  onAccepted(): void {
    this.refusals.clear();
  }

  /** The runner has started again; what it refused before says nothing. */
  forget(runner: string): void {
    this.refusals.delete(runner);
  }

  private countRefusals(): number {
    let total = 0;
    for (const count of this.refusals.values()) total += count;
    return total;
  }
}
