/**
 * An entry's estimate of the load of one runner: the entry's own requests in
 * flight, which it knows exactly, plus those of other entries, from the last
 * report, which is delayed.
 */
import type { Random } from "../internal.js";
import { RunnerHealth } from "./health.js";
import type { RunnerDescription, RunnerLoad } from "./types.js";

/** Number of changes of `ownCount` kept, to look it up at a report's time. */
const HISTORY_LENGTH = 32;
/** Weight of a new observation in the moving average of slowness. */
const SLOWNESS_SMOOTHING_FACTOR = 0.2;
const MINIMUM_SLOWNESS = 0.25;
const MAXIMUM_SLOWNESS = 50;

export class RunnerState {
  description: RunnerDescription;
  readonly health: RunnerHealth;
  /** Requests from this entry at the runner. */
  ownCount = 0;
  /** Requests from other entries, according to the last report. */
  othersCount = 0;
  /** Time to which the last report applies; -Infinity before the first. */
  reportedAtMs = Number.NEGATIVE_INFINITY;
  freeTokens = Number.POSITIVE_INFINITY;
  stepMs = 0;
  /** Number of the last decision that had it as a candidate. */
  lastDecisionNumber = 0;
  /** Gaps seen in the runner's cache events. */
  cacheGaps = 0;
  cacheSequence = -1;
  private slowness = 1;
  private slownessAtMs = 0;
  private readonly historyTimesMs = new Float64Array(HISTORY_LENGTH);
  private readonly historyCounts = new Int32Array(HISTORY_LENGTH);
  private nextHistoryIndex = 0;

  private constructor(description: RunnerDescription, random: Random) {
    this.description = description;
    this.health = RunnerHealth.create(random);
  }

  static create(description: RunnerDescription, random: Random): RunnerState {
    return new RunnerState(description, random);
  }

  get name(): string {
    return this.description.runner;
  }

  changeOwnCount(nowMs: number, change: number): void {
    this.recordOwnCount(nowMs);
    this.ownCount = Math.max(0, this.ownCount + change);
  }

  onReport(nowMs: number, load: RunnerLoad, blockTokens: number): void {
    const atMs = nowMs - load.ageMs;
    if (atMs < this.reportedAtMs) return;
    this.reportedAtMs = atMs;
    const totalCount = load.running + load.waiting;
    this.othersCount = Math.max(0, totalCount - this.ownCountAt(atMs));
    this.stepMs = load.stepMs;
    if (load.totalBlocks > 0) this.freeTokens = load.freeBlocks * blockTokens;
  }

  /** The agent refused a request at its limit: equivalent to a new report. */
  onFull(nowMs: number, limit: number): void {
    this.reportedAtMs = nowMs;
    this.othersCount = Math.max(limit - this.ownCount, this.othersCount);
  }

  /** Adds the ratio of actual to nominal duration of a completed request. */
  recordSlowness(nowMs: number, ratio: number, decayMs: number): void {
    const previousSlowness = this.slownessAt(nowMs, decayMs);
    const mean =
      previousSlowness + SLOWNESS_SMOOTHING_FACTOR * (ratio - previousSlowness);
    this.slowness = Math.min(
      MAXIMUM_SLOWNESS,
      Math.max(MINIMUM_SLOWNESS, mean),
    );
    this.slownessAtMs = nowMs;
  }

  /**
   * Ratio of actual to nominal duration. It decays towards 1, so that a runner
   * that was slow gets some requests again, which show whether it recovered.
   */
  slownessAt(nowMs: number, decayMs: number): number {
    if (this.slowness === 1) return 1;
    const ageMs = Math.max(0, nowMs - this.slownessAtMs);
    return 1 + (this.slowness - 1) * Math.exp(-ageMs / decayMs);
  }

  private recordOwnCount(nowMs: number): void {
    const slot = this.nextHistoryIndex % HISTORY_LENGTH;
    this.historyTimesMs[slot] = nowMs;
    this.historyCounts[slot] = this.ownCount;
    this.nextHistoryIndex += 1;
  }

  /**
   * Own requests at an earlier time. If the history doesn't go back that far,
   * returns its maximum: with too low a count, own requests would be taken for
   * those of other entries, and this entry would treat the runner as full.
   */
  private ownCountAt(atMs: number): number {
    const oldest = Math.max(0, this.nextHistoryIndex - HISTORY_LENGTH);
    const isCovered =
      this.nextHistoryIndex <= HISTORY_LENGTH ||
      (this.historyTimesMs[oldest % HISTORY_LENGTH] ?? 0) <= atMs;
    if (!isCovered) return Math.max(this.ownCount, ...this.historyCounts);
    let count = this.ownCount;
    for (let index = this.nextHistoryIndex - 1; index >= oldest; index -= 1) {
      const slot = index % HISTORY_LENGTH;
      if ((this.historyTimesMs[slot] ?? 0) <= atMs) break;
      count = this.historyCounts[slot] ?? 0;
    }
    return count;
  }
}
