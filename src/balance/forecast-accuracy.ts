/**
 * Tracks the accuracy of several forecasts to weight them against each other.
 */
import { squaredDistance, sumOfSquares } from "./numbers.js";

/** Windows between a forecast and its comparison with the actual load. */
export const CHECK_LEAD_WINDOWS = 8;
const CHECK_INTERVAL_WINDOWS = 2;
const ERROR_DECAY = 0.9;
/**
 * Added to each relative squared error, so that forecasts whose errors are far
 * below it get nearly equal weights.
 */
const ERROR_FLOOR = 1e-5;

interface Snapshot {
  readonly dueWindow: number;
  readonly forecasts: readonly Float64Array[];
}

export class ForecastAccuracy {
  private readonly errors: Float64Array;
  private snapshots: readonly Snapshot[] = [];
  private windows = 0;

  private constructor(forecasts: number) {
    this.errors = new Float64Array(forecasts);
  }

  static create(forecasts: number): ForecastAccuracy {
    return new ForecastAccuracy(forecasts);
  }

  /** Weights of the forecasts by accuracy; they sum to 1. */
  get weights(): readonly number[] {
    const scores = Array.from(
      this.errors,
      (error) => (error + ERROR_FLOOR) ** -2,
    );
    const total = scores.reduce((sum, value) => sum + value, 0);
    return scores.map((value) => value / total);
  }

  /**
   * Compares the forecast that is due for this window with the actual load, and
   * every few windows keeps a new one, computed by `forecastFor`.
   */
  advance(
    actual: Float64Array,
    forecastFor: (leadWindows: number) => readonly Float64Array[],
  ): void {
    this.windows++;
    this.check(actual);
    if (this.windows % CHECK_INTERVAL_WINDOWS !== 0) return;
    const dueWindow = this.windows + CHECK_LEAD_WINDOWS;
    const forecasts = forecastFor(CHECK_LEAD_WINDOWS);
    this.snapshots = [...this.snapshots, { dueWindow, forecasts }];
  }

  private check(actual: Float64Array): void {
    const due = this.snapshots.at(0);
    if (due?.dueWindow !== this.windows) return;
    this.snapshots = this.snapshots.slice(1);
    const totalSquares = sumOfSquares(actual);
    if (totalSquares === 0) return;
    due.forecasts.forEach((forecast, index) => {
      const error = squaredDistance(forecast, actual) / totalSquares;
      const old = this.errors[index];
      this.errors[index] = ERROR_DECAY * old + (1 - ERROR_DECAY) * error;
    });
  }
}
