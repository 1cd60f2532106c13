/** Types of expert balancing: maps, moves, loads, costs and plans. */

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

/** One expert's weights fetched into one slot. */
export interface ExpertMove {
  readonly layer: number;
  readonly rank: number;
  readonly slot: number;
  /** Expert that the slot holds afterwards. */
  readonly expert: number;
  /** Expert that the slot held before, or EMPTY_SLOT. */
  readonly previous: number;
}

/** What one rank reports of one window of steps. */
export interface RankReport {
  readonly rank: number;
  readonly window: number;
  /** Map under which the tokens were counted. */
  readonly mapVersion: number;
  /** Tokens of each slot: layer * slotsPerRank + position. */
  readonly tokens: ArrayLike<number>;
  /** Time spent computing, without the wait for other ranks, in seconds. */
  readonly busySeconds: number;
  /** Work of the rank's own requests, in tokens of expert work. */
  readonly requestTokens: number;
}

/** Expected tokens a window of each layer and expert (layer * experts + e). */
export interface LoadPrediction {
  readonly tokens: Float64Array;
  /** Variance of the estimates above, in tokens squared. */
  readonly variance: Float64Array;
}

/** What the step model needs to know of the ranks. */
export interface RankState {
  /** Speed of each rank; 1 is the group's median. */
  readonly speeds: ArrayLike<number>;
  /** Work of requests on each rank a window, in tokens of expert work. */
  readonly requestTokens: ArrayLike<number>;
}

export interface MoveCosts {
  readonly bytesPerExpert: number;
  readonly storeBytesPerSecond: number;
  /** Stall of the group caused by one switch of maps. */
  readonly switchSeconds: number;
  /** Experts that a rank has memory for beside its slots, over all layers. */
  readonly stagingExpertsPerRank: number;
}

export interface PlanInput {
  readonly map: ExpertMap;
  readonly load: LoadPrediction;
  readonly ranks: RankState;
  readonly costs: MoveCosts;
  /** 1 weighs skew only, 0 cost only. */
  readonly skewWeight: number;
  /** Share of foretold savings that came true of late, 0 to 1. */
  readonly confidence: number;
}

/** Forecast of what a plan does. */
export interface PlanForecast {
  /** Step time over the time of perfectly spread work. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly bytes: number;
  /** From the decision to the switch. */
  readonly transferSeconds: number;
  /** Over the planner's horizon, the stall of the switch taken off. */
  readonly savedSeconds: number;
}

export type StayReason =
  /** No report has come in yet. */
  | "no-reports"
  /** The last plan's map isn't in force yet. */
  | "switch-pending"
  /** No layer is far enough from even. */
  | "balanced"
  /** What a move would gain could be sampling noise. */
  | "within-noise"
  /** No move of experts shortens the step. */
  | "no-better-map"
  /** The time saved doesn't cover the cost of moving. */
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
      /** The plan that full confidence would have carried out. */
      readonly heldBack?: MovePlan;
    };
