/**
 * How many lines of one event a process writes a second. Under load the same
 * few events come thousands of times: beyond the budget they are counted, and
 * the count is told once a second. Failures have the larger budgets, because
 * they are what is looked for afterwards.
 */
import type { EventLevel, EventNumber, Now } from "../internal.js";

/** Lines of one event a second, by its level. */
const LINES_EACH_SECOND: Readonly<Record<EventLevel, number>> = {
  debug: 50,
  info: 100,
  warn: 200,
  error: 200,
};
const PERIOD_MS = 1000;

interface Spent {
  lines: number;
  omitted: number;
}

export class LineBudget {
  private startedAtMs = Number.NEGATIVE_INFINITY;
  private spent = new Map<EventNumber, Spent>();

  private constructor(private readonly now: Now) {}

  static create(now: Now): LineBudget {
    return new LineBudget(now);
  }

  /** Whether the line may be written; if not, it is counted. */
  take(number: EventNumber, level: EventLevel): boolean {
    const spent = this.spent.get(number) ?? { lines: 0, omitted: 0 };
    this.spent.set(number, spent);
    if (spent.lines < LINES_EACH_SECOND[level]) {
      spent.lines += 1;
      return true;
    }
    spent.omitted += 1;
    return false;
  }

  /** Begins a new second when it is time; what the last one left out. */
  turn(): readonly (readonly [number: EventNumber, omitted: number])[] {
    const nowMs = this.now();
    if (nowMs - this.startedAtMs < PERIOD_MS) return [];
    const omitted = [...this.spent]
      .filter(([, spent]) => spent.omitted > 0)
      .map(([number, spent]) => [number, spent.omitted] as const);
    this.startedAtMs = nowMs;
    this.spent = new Map();
    return omitted;
  }
}
