/** Types for expert balancing: maps, moves, loads, costs and plans. */

export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  /** Expert slots of one rank in one layer. */
  readonly slotsPerRank: number;
}

/** Marks a slot that holds no expert. */
export const EMPTY_SLOT = -1;

export interface ExpertMap {
  readonly version: number;
  readonly shape: GroupShape;
  /**
   * Expert of each slot, or EMPTY_SLOT; the slot of layer l, rank r and
   * position s is at (l * ranks + r) * slotsPerRank + s.
   */
  readonly slots: ArrayLike<number>;
}

/** Fetch of one expert's weights into one slot. */
export interface ExpertMove {
  readonly layer: number;
  readonly rank: number;
  readonly slot: number;
  /** Expert that the slot holds after the move. */
  readonly expert: number;
  /** Expert that the slot held before the move, or EMPTY_SLOT. */
  readonly previous: number;
}

/** Report of one rank on one window of steps. */
export interface RankReport {
  readonly rank: number;
  readonly window: number;
  /** Map under which the tokens were counted. */
  readonly mapVersion: number;
  /** Tokens of each slot: layer * slotsPerRank + position. */
  readonly tokens: ArrayLike<number>;
  /** Compute time in seconds, without waiting for other ranks. */
  readonly busySeconds: number;
  /** Work for the rank's own requests, in tokens of expert work. */
  readonly requestTokens: number;
}

/** Expected tokens per window, layer and expert (layer * experts + expert). */
export interface LoadPrediction {
  readonly tokens: Float64Array;
  /** Variance of the estimates above, in tokens squared. */
  readonly variance: Float64Array;
}

/** Rank parameters of the step model. */
export interface RankState {
  /** Speed of each rank; 1 is the group's median. */
  readonly speeds: ArrayLike<number>;
  /** Request work of each rank per window, in tokens of expert work. */
  readonly requestTokens: ArrayLike<number>;
}

export interface MoveCosts {
  readonly bytesPerExpert: number;
  readonly storeBytesPerSecond: number;
  /** Time one map switch stalls the group. */
  readonly switchSeconds: number;
  /** Experts a rank has spare memory for besides its slots, over all layers. */
  readonly stagingExpertsPerRank: number;
}

export interface PlanInput {
  readonly map: ExpertMap;
  readonly load: LoadPrediction;
  readonly ranks: RankState;
  readonly costs: MoveCosts;
  /** Weight of skew against cost: 1 counts only skew, 0 only cost. */
  readonly skewWeight: number;
  /** Share of predicted savings that were recently realized, 0 to 1. */
  readonly confidence: number;
}

/** Predicted effect of a plan. */
export interface PlanForecast {
  /** Step time relative to that of perfectly spread work. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly bytes: number;
  /** Time from the decision to the switch. */
  readonly transferSeconds: number;
  /** Time saved over the planner's horizon, less the switch stall. */
  readonly savedSeconds: number;
}

export type StayReason =
  /** Too few windows of reports have been observed. */
  | "no-reports"
  /** The last plan's map isn't in force yet. */
  | "switch-pending"
  /** Every layer is within the tolerated imbalance. */
  | "balanced"
  /** The gain of a move could be sampling noise. */
  | "within-noise"
  /** No expert move shortens the step. */
  | "no-better-map"
  /** The saved time doesn't cover the cost of moving. */
  | "not-worth-cost";

export interface MovePlan {
  readonly kind: "move";
  readonly map: ExpertMap;
  readonly moves: readonly ExpertMove[];
  readonly predicted: PlanForecast;
}

export type Plan =
  | MovePlan
  | {
      readonly kind: "stay";
      readonly reason: StayReason;
      readonly predicted: PlanForecast;
      /** Plan that would have been executed at full confidence. */
      readonly fullConfidencePlan?: MovePlan;
    };
