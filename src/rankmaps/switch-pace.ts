/**
 * Estimates how many steps a group makes from the hold of a step to its
 * release: meanwhile all ranks are observed once more, and then armed in two
 * turns. In a wide group that takes the planner many steps' time, and a group
 * that reaches the held step earlier stands still.
 */

/**
 * Rounds to all ranks from the hold to the release, with the orders to single
 * ranks counted as one.
 */
const ROUNDS_PER_SWITCH = 4;
/** Rounds up to this time fit the least lead, ms. */
const SHORT_ROUND_MS = 40;
/** Weight of the latest measurement. */
const LATEST_WEIGHT = 0.3;

export class SwitchPace {
  private roundMs = 0;
  private stepMs: number | undefined;
  private last: { readonly step: number; readonly atMs: number } | undefined;

  static create(): SwitchPace {
    return new SwitchPace();
  }

  /** `durationMs`: of the observation of all ranks that ended at `nowMs`. */
  onObserved(latestStep: number, durationMs: number, nowMs: number): void {
    this.roundMs = Math.max(
      durationMs,
      mixed(this.roundMs, durationMs, LATEST_WEIGHT),
    );
    const { last } = this;
    this.last = { step: latestStep, atMs: nowMs };
    if (last === undefined || latestStep <= last.step) return;
    const stepMs = (nowMs - last.atMs) / (latestStep - last.step);
    this.stepMs = mixed(this.stepMs ?? stepMs, stepMs, LATEST_WEIGHT);
  }

  /** Undefined where the least lead is enough, or steps haven't been timed. */
  get leadSteps(): number | undefined {
    if (this.stepMs === undefined || this.roundMs <= SHORT_ROUND_MS)
      return undefined;
    return Math.ceil((ROUNDS_PER_SWITCH * this.roundMs) / this.stepMs) + 1;
  }
}

function mixed(before: number, latest: number, weight: number): number {
  return before + weight * (latest - before);
}
