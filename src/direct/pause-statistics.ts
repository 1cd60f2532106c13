/**
 * Pauses between events of a group's streams: their mean, and how far below the
 * objective the mean has to stay. All streams of a group have an event in each
 * step, so samples are weighted by the time since the previous one: a step
 * counts the same whether this entry runs two streams in the group or fifty.
 *
 * A stream is late if any of its pauses exceeds the objective. How many steps
 * exceed it at a given mean depends on the deployment, so the target of the mean
 * follows from it: it falls with each step that exceeds the objective and rises
 * slowly with all others, until about one step in two hundred exceeds it.
 */

/** Time constant of the mean, ms. */
const MEAN_TIME_MS = 300;
/**
 * Time constant of the mean with which single pauses are compared, ms: shorter
 * than a change of the load.
 */
const REFERENCE_TIME_MS = 1000;
/**
 * Maximum pause that is taken into account, relative to the mean. A single step
 * may be held much longer, for a switch of the expert map, whatever the load.
 */
const MAXIMUM_PAUSE_RATIO = 1.5;
/** Bounds of the target, as shares of the pause objective. */
const MINIMUM_TARGET_SHARE = 0.5;
const MAXIMUM_TARGET_SHARE = 0.9;
const INITIAL_TARGET_SHARE = 0.8;
/**
 * Rates at which the target approaches its minimum during steps that exceed the
 * objective, and its maximum during others, per second.
 */
const DECREASE_RATE = 6;
const INCREASE_RATE = 0.03;

const MS_PER_SECOND = 1000;

export class PauseStatistics {
  private mean = 0;
  private referenceMean = 0;
  private share = INITIAL_TARGET_SHARE;
  private latestAtMs = Number.NEGATIVE_INFINITY;

  static create(): PauseStatistics {
    return new PauseStatistics();
  }

  /** Mean pause, ms; 0 until there is one. */
  get meanMs(): number {
    return this.mean;
  }

  /** Target of the mean pause as a share of the objective. */
  get targetShare(): number {
    return this.share;
  }

  /** Monotonic time of the latest pause's end, ms. */
  get lastAtMs(): number {
    return this.latestAtMs;
  }

  add(pauseMs: number, objectiveMs: number, nowMs: number): void {
    const sinceLatestMs = nowMs - this.latestAtMs;
    this.latestAtMs = nowMs;
    if (this.referenceMean === 0) {
      this.mean = pauseMs;
      this.referenceMean = pauseMs;
      return;
    }
    const maximumMs = this.referenceMean * MAXIMUM_PAUSE_RATIO;
    const elapsedMs = Math.min(sinceLatestMs, maximumMs);
    if (pauseMs <= maximumMs)
      this.adjustTarget(pauseMs > objectiveMs, elapsedMs);
    const usualMs = Math.min(pauseMs, maximumMs);
    this.referenceMean +=
      weightOf(elapsedMs, REFERENCE_TIME_MS) * (usualMs - this.referenceMean);
    this.mean += weightOf(elapsedMs, MEAN_TIME_MS) * (usualMs - this.mean);
  }

  private adjustTarget(isLate: boolean, elapsedMs: number): void {
    const rate = isLate ? DECREASE_RATE : INCREASE_RATE;
    const bound = isLate ? MINIMUM_TARGET_SHARE : MAXIMUM_TARGET_SHARE;
    const weight = weightOf(elapsedMs, MS_PER_SECOND / rate);
    this.share += weight * (bound - this.share);
  }
}

/** Weight of a sample in an exponential moving average over time. */
function weightOf(elapsedMs: number, timeConstantMs: number): number {
  return 1 - Math.exp(-elapsedMs / timeConstantMs);
}
