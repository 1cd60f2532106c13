/**
 * Mean and variation of the pauses between events of a group's streams. All
 * streams of a group have an event in each step, so samples are weighted by the
 * time since the previous one: a step counts the same whether this entry runs
 * two streams in the group or fifty.
 */

/** Time constant of the mean, ms. */
const MEAN_TIME_MS = 300;
/**
 * Time constant of the mean from which deviations are measured, ms: longer than
 * a shift of the demand for experts lasts, shorter than a change of the load.
 */
const REFERENCE_TIME_MS = 1000;
/** Time constant of the variation, ms. */
const VARIATION_TIME_MS = 5000;
/**
 * Maximum pause that is taken into account, relative to the mean. A single step
 * may be held much longer, for a switch of the expert map, whatever the load.
 */
const MAXIMUM_PAUSE_RATIO = 1.5;
/** Relative standard deviation that is assumed until it has been measured. */
const INITIAL_VARIATION = 0.2;

export class PauseStatistics {
  private mean = 0;
  private referenceMean = 0;
  /** Mean square of the deviations relative to the reference mean. */
  private variance = INITIAL_VARIATION ** 2;
  private latestAtMs = Number.NEGATIVE_INFINITY;

  static create(): PauseStatistics {
    return new PauseStatistics();
  }

  /** Mean pause, ms; 0 until there is one. */
  get meanMs(): number {
    return this.mean;
  }

  /** Standard deviation of the pauses relative to their mean. */
  get variation(): number {
    return Math.sqrt(this.variance);
  }

  /** Monotonic time of the latest pause's end, ms. */
  get lastAtMs(): number {
    return this.latestAtMs;
  }

  add(pauseMs: number, nowMs: number): void {
    const sinceLatestMs = nowMs - this.latestAtMs;
    this.latestAtMs = nowMs;
    if (this.referenceMean === 0) {
      this.mean = pauseMs;
      this.referenceMean = pauseMs;
      return;
    }
    const maximumMs = this.referenceMean * MAXIMUM_PAUSE_RATIO;
    const elapsedMs = Math.min(sinceLatestMs, maximumMs);
    const usualMs = Math.min(pauseMs, maximumMs);
    const deviation = usualMs / this.referenceMean - 1;
    this.variance +=
      weightOf(elapsedMs, VARIATION_TIME_MS) * (deviation ** 2 - this.variance);
    this.referenceMean +=
      weightOf(elapsedMs, REFERENCE_TIME_MS) * (usualMs - this.referenceMean);
    this.mean += weightOf(elapsedMs, MEAN_TIME_MS) * (usualMs - this.mean);
  }
}

/** Weight of a sample in an exponential moving average over time. */
function weightOf(elapsedMs: number, timeConstantMs: number): number {
  return 1 - Math.exp(-elapsedMs / timeConstantMs);
}
