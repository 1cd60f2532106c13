/**
 * The requests of one service without streams as one entry runs them: tells
 * requests that hang from those that work, and weighs runners by what they
 * answer.
 */
import type { Now } from "../internal.js";
import { ResponseStatistics } from "./response-statistics.js";
import { RunnerRecord } from "./runner-record.js";
import type { Runner, RunnerVerdict } from "./runner.js";

/** A request at a runner. */
export interface StartedRequest {
  readonly id: string;
  /** Name of the route. */
  readonly profile: string;
}

/** A response and the objective of its route. */
export interface TimedResponse {
  readonly durationMs: number;
  readonly objectiveMs: number;
}

const FAILURES: ReadonlySet<RunnerVerdict> = new Set([
  "failed",
  "lost",
  "unreachable",
  "server-error",
]);

/** Least number of hung requests that don't count against the limit. */
const MINIMUM_EXCUSED = 4;
/** Share of the runners' places up to which hung requests don't count. */
const EXCUSED_SHARE_OF_PLACES = 0.5;

export class PlainService {
  private readonly statistics = ResponseStatistics.create();
  private readonly objectivesMs = new Map<string, number>();
  private readonly records = new WeakMap<Runner, RunnerRecord>();

  private constructor(private readonly now: Now) {}

  static create(now: Now): PlainService {
    return new PlainService(now);
  }

  /** `route`: name of the route. */
  setObjective(route: string, objectiveMs: number): void {
    this.objectivesMs.set(route, objectiveMs);
  }

  onStarted(runner: Runner, { id, profile }: StartedRequest): void {
    const objectiveMs = this.objectiveMsOf(profile);
    const hungAfterMs = this.statistics.hungAfterMs(profile, objectiveMs);
    this.recordOf(runner).onStarted(id, this.now(), hungAfterMs);
  }

  /**
   * Returns the response's time if the runner has answered. A request that was
   * given up after it had hung counts as a failure of its runner.
   */
  onEnded(
    runner: Runner,
    { id, profile }: StartedRequest,
    verdict: RunnerVerdict,
  ): { readonly verdict: RunnerVerdict; readonly response?: TimedResponse } {
    const nowMs = this.now();
    const record = this.recordOf(runner);
    const ended = record.onEnded(id, nowMs);
    if (ended === undefined) return { verdict };
    const { durationMs, wasHung } = ended;
    if (verdict === "served") {
      record.onResponse(durationMs, this.statistics.meanMsOf(profile), nowMs);
      this.statistics.onResponse(profile, durationMs);
      const objectiveMs = this.objectiveMsOf(profile);
      return { verdict, response: { durationMs, objectiveMs } };
    }
    const isHangingEnd = verdict === "none" && wasHung;
    if (FAILURES.has(verdict) || isHangingEnd) record.onFailure(nowMs);
    return { verdict: isHangingEnd ? "failed" : verdict };
  }

  /** Number of requests at the runner that hang. */
  hungAt(runner: Runner): number {
    return this.records.get(runner)?.hungAt(this.now()) ?? 0;
  }

  /** Load score in which slow, failing and hanging runners weigh more. */
  weigh(runner: Runner, score: number): number {
    const { running, server } = runner;
    const { slots } = server;
    const isFull = running >= slots;
    return this.recordOf(runner).weigh({ score, slots, isFull }, this.now());
  }

  private objectiveMsOf(route: string): number {
    return this.objectivesMs.get(route) ?? Number.POSITIVE_INFINITY;
  }

  private recordOf(runner: Runner): RunnerRecord {
    const known = this.records.get(runner);
    if (known !== undefined) return known;
    const record = RunnerRecord.create();
    this.records.set(runner, record);
    return record;
  }
}

/**
 * Number of hung requests that don't count against an entry's limit. Bounded,
 * so that a service that answers nothing doesn't collect requests without end.
 */
export function excusedCount(hung: number, slots: number): number {
  const bound = Math.max(MINIMUM_EXCUSED, slots * EXCUSED_SHARE_OF_PLACES);
  return Math.min(hung, Math.floor(bound));
}
