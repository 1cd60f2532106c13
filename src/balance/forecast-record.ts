/** How well each of several forecasts foretold the load some windows ago. */
import { squaredDistance, squares } from "./numbers.js";

/** Windows between a forecast and the check of it. */
export const CHECK_LEAD = 8;
const CHECK_EVERY = 2;
const ERROR_DECAY = 0.9;
/** Relative squared error below which two forecasts count as equal. */
const ERROR_FLOOR = 1e-5;

interface Snapshot {
  readonly dueWindow: number;
  readonly forecasts: readonly Float64Array[];
}

export class ForecastRecord {
  private readonly errors: Float64Array;
  private snapshots: readonly Snapshot[] = [];
  private windows = 0;

  private constructor(forecasts: number) {
    this.errors = new Float64Array(forecasts);
  }

  static create(forecasts: number): ForecastRecord {
    return new ForecastRecord(forecasts);
  }

  /** Weights of the forecasts, one in all. */
  get weights(): readonly number[] {
    const trust = Array.from(
      this.errors,
      (error) => (error + ERROR_FLOOR) ** -2,
    );
    const total = trust.reduce((sum, value) => sum + value, 0);
    return trust.map((value) => value / total);
  }

  /**
   * A window has passed: checks what was foretold for it against the actual
   * load, and now and then keeps what is foretold from here (`foretell`).
   */
  advance(
    actual: Float64Array,
    foretell: (leadWindows: number) => readonly Float64Array[],
  ): void {
    this.windows++;
    this.check(actual);
    if (this.windows % CHECK_EVERY !== 0) return;
    const dueWindow = this.windows + CHECK_LEAD;
    const forecasts = foretell(CHECK_LEAD);
    this.snapshots = [...this.snapshots, { dueWindow, forecasts }];
  }

  private check(actual: Float64Array): void {
    const due = this.snapshots.at(0);
    if (due?.dueWindow !== this.windows) return;
    this.snapshots = this.snapshots.slice(1);
    const size = squares(actual);
    if (size === 0) return;
    due.forecasts.forEach((forecast, index) => {
      const error = squaredDistance(forecast, actual) / size;
      const old = this.errors[index];
      this.errors[index] = ERROR_DECAY * old + (1 - ERROR_DECAY) * error;
    });
  }
}
