/**
 * Tracks how much of the predicted saving of new maps was realized. When demand
 * oscillates faster than maps can follow, every plan looks good when it is made
 * and saves nothing once it is in force, while each one costs transferred
 * bytes.
 *
 * Evaluates one plan at a time, whether it was executed or not, by comparing
 * the old and the new map on the load observed later. Confidence therefore
 * recovers without a move once plans would have paid off again.
 */
import { savedShareOn } from "./load-history.js";
import type { ExpertMap, RankState } from "./types.js";

/**
 * Windows before a new map is in force: reports are one window late, and
 * transfer and agreement take one to two windows.
 */
const ACTIVATION_DELAY_WINDOWS = 3;
/** Windows compared: two minutes, long enough to cover an oscillation. */
const EVALUATION_WINDOWS = 12;
/** Weight of the newest evaluation; three failures cut confidence to 1/8. */
const CONFIDENCE_SMOOTHING_FACTOR = 0.5;

interface Evaluation {
  readonly from: ExpertMap;
  readonly to: ExpertMap;
  readonly predictedShare: number;
  windows: number;
  savedShare: number;
}

export class PlanAccuracy {
  private evaluation: Evaluation | undefined;
  private currentConfidence = 1;

  private constructor() {
    // Instances are made by create().
  }

  static create(): PlanAccuracy {
    return new PlanAccuracy();
  }

  /** Share of a predicted saving that is expected to be realized, 0 to 1. */
  get confidence(): number {
    return this.currentConfidence;
  }

  /** Starts evaluating a plan, unless another evaluation is running. */
  startEvaluation(
    from: ExpertMap,
    to: ExpertMap,
    predictedShare: number,
  ): void {
    if (predictedShare <= 0) return;
    this.evaluation ??= {
      from,
      to,
      predictedShare,
      windows: 0,
      savedShare: 0,
    };
  }

  /** Adds the observed load of one window to the running evaluation. */
  observe(tokens: ArrayLike<number>, ranks: RankState): void {
    const { evaluation } = this;
    if (evaluation === undefined) return;
    evaluation.windows++;
    if (evaluation.windows <= ACTIVATION_DELAY_WINDOWS) return;
    evaluation.savedShare += savedShareOn(
      tokens,
      evaluation.from,
      evaluation.to,
      ranks,
    );
    if (evaluation.windows === ACTIVATION_DELAY_WINDOWS + EVALUATION_WINDOWS)
      this.finishEvaluation(evaluation);
  }

  private finishEvaluation(evaluation: Evaluation): void {
    const realized =
      evaluation.savedShare / EVALUATION_WINDOWS / evaluation.predictedShare;
    const share = Math.min(Math.max(realized, 0), 1);
    this.currentConfidence +=
      CONFIDENCE_SMOOTHING_FACTOR * (share - this.currentConfidence);
    this.evaluation = undefined;
  }
}
