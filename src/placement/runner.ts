/**
 * What one entry believes about the load of one runner: its own work in
 * flight, known exactly, plus the last report, which covers the other entries
 * and lags.
 */
import type { Random } from "../internal.js";
import { RunnerHealth } from "./health.js";
import type { RunnerDescription, RunnerLoad } from "./types.js";

/** Changes of own work remembered to line up with a report's age. */
const HISTORY = 32;
/** Share of a new observation in the running mean of slowness. */
const SLOWNESS_SHARE = 0.2;
const LEAST_SLOWNESS = 0.25;
const MOST_SLOWNESS = 50;

export class RunnerState {
  description: RunnerDescription;
  readonly health: RunnerHealth;
  /** Requests of this entry that the runner has. */
  ownCount = 0;
  /** Requests of other entries, by the last report. */
  othersCount = 0;
  /** Time that the report speaks of; before any report minus infinity. */
  reportedAtMs = Number.NEGATIVE_INFINITY;
  freeTokens = Number.POSITIVE_INFINITY;
  stepMs = 0;
  /** Number of the last decision that looked at it. */
  lastDecision = 0;
  /** Cache events lost so far. */
  cacheGaps = 0;
  cacheSequence = -1;
  private slowness = 1;
  private slownessAtMs = 0;
  private readonly historyAtMs = new Float64Array(HISTORY);
  private readonly historyCount = new Int32Array(HISTORY);
  private historyNext = 0;

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

  addOwn(nowMs: number, count: number): void {
    this.remember(nowMs);
    this.ownCount = Math.max(0, this.ownCount + count);
  }

  onReport(nowMs: number, load: RunnerLoad, blockTokens: number): void {
    const atMs = nowMs - load.ageMs;
    if (atMs < this.reportedAtMs) return;
    this.reportedAtMs = atMs;
    const all = load.running + load.waiting;
    this.othersCount = Math.max(0, all - this.ownCountAt(atMs));
    this.stepMs = load.stepMs;
    if (load.totalBlocks > 0) this.freeTokens = load.freeBlocks * blockTokens;
  }

  /** The agent refused for being full: as good as a fresh report. */
  onFull(nowMs: number, limit: number): void {
    this.reportedAtMs = nowMs;
    this.othersCount = Math.max(limit - this.ownCount, this.othersCount);
  }

  /** Takes in how long a request really took against its nominal time. */
  onServed(nowMs: number, ratio: number, memoryMs: number): void {
    const before = this.slownessAt(nowMs, memoryMs);
    const mean = before + SLOWNESS_SHARE * (ratio - before);
    this.slowness = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, mean));
    this.slownessAtMs = nowMs;
  }

  /**
   * Actual over nominal duration. It fades towards 1, so that a runner that
   * was slow once gets a little work, by which it can show that it recovered.
   */
  slownessAt(nowMs: number, memoryMs: number): number {
    if (this.slowness === 1) return 1;
    const ageMs = Math.max(0, nowMs - this.slownessAtMs);
    return 1 + (this.slowness - 1) * Math.exp(-ageMs / memoryMs);
  }

  private remember(nowMs: number): void {
    const slot = this.historyNext % HISTORY;
    this.historyAtMs[slot] = nowMs;
    this.historyCount[slot] = this.ownCount;
    this.historyNext += 1;
  }

  /**
   * Own requests at an earlier time: the count before the next change. Where
   * the history doesn't reach back so far, the most that it knows: own work
   * taken for that of others would close the runner to its own entry.
   */
  private ownCountAt(atMs: number): number {
    const oldest = Math.max(0, this.historyNext - HISTORY);
    const isCovered =
      this.historyNext <= HISTORY ||
      (this.historyAtMs[oldest % HISTORY] ?? 0) <= atMs;
    if (!isCovered) return Math.max(this.ownCount, ...this.historyCount);
    let count = this.ownCount;
    for (let index = this.historyNext - 1; index >= oldest; index -= 1) {
      const slot = index % HISTORY;
      if ((this.historyAtMs[slot] ?? 0) <= atMs) break;
      count = this.historyCount[slot] ?? 0;
    }
    return count;
  }
}
