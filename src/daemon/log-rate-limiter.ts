/**
 * Limits how many lines of each event a process logs per second. Under load the
 * same few events occur thousands of times; lines over the limit are counted,
 * and the counts are logged once a second. Failures have higher limits, because
 * they are what operators search for afterwards.
 */
import type { EventLevel, EventNumber, Now } from "../internal.js";

/** Lines of one event per second, by its level. */
const LINES_PER_SECOND: Readonly<Record<EventLevel, number>> = {
  debug: 50,
  info: 100,
  warn: 200,
  error: 200,
};
const PERIOD_MS = 1000;

interface LineCounts {
  lines: number;
  omitted: number;
}

export class LogRateLimiter {
  private periodStartedAtMs = Number.NEGATIVE_INFINITY;
  private countsByEvent = new Map<EventNumber, LineCounts>();

  private constructor(private readonly now: Now) {}

  static create(now: Now): LogRateLimiter {
    return new LogRateLimiter(now);
  }

  /** Returns whether the line may be written; if not, counts it as omitted. */
  tryAcquire(number: EventNumber, level: EventLevel): boolean {
    const counts = this.countsByEvent.get(number) ?? { lines: 0, omitted: 0 };
    this.countsByEvent.set(number, counts);
    if (counts.lines < LINES_PER_SECOND[level]) {
      counts.lines += 1;
      return true;
    }
    counts.omitted += 1;
    return false;
  }

  /**
   * Starts a new period if the current one has passed; returns the number of
   * lines of each event that were omitted in it.
   */
  startPeriodIfDue(): readonly (readonly [
    number: EventNumber,
    omitted: number,
  ])[] {
    const nowMs = this.now();
    if (nowMs - this.periodStartedAtMs < PERIOD_MS) return [];
    const omitted = [...this.countsByEvent]
      .filter(([, counts]) => counts.omitted > 0)
      .map(([number, counts]) => [number, counts.omitted] as const);
    this.periodStartedAtMs = nowMs;
    this.countsByEvent = new Map();
    return omitted;
  }
}
