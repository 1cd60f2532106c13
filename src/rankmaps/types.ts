/**
 * Types of expert maps at engines that hold a step by order: what a rank
 * tells, what it can be told, and the map of a group.
 */

import type { LifeStart } from "../membership/life.js";

/** Said by one life of a runner; tells nothing of a later one. */
export interface OfLife {
  readonly startedAtMs: LifeStart;
}

export interface ArmedMap {
  readonly version: number;
  /** The rank changes to the map as it begins this step. */
  readonly step: number;
}

/** What a rank tells of itself. */
export interface RankState extends OfLife {
  /** Group that the platform has formed; its ranks make every step together. */
  readonly group: string;
  /** New whenever the group was formed anew. */
  readonly epoch: number;
  readonly rank: number;
  readonly size: number;
  /** False while a rank of the group is missing. */
  readonly isOpen: boolean;
  /** The last step that was begun. */
  readonly step: number;
  readonly mapVersion: number;
  /** Version of which the rank has all weights. */
  readonly preparedVersion: number | undefined;
  readonly armed: ArmedMap | undefined;
  /** Step that the group doesn't begin until this rank is released. */
  readonly heldStep: number | undefined;
  /** How many times as long as usual the rank takes for its work. */
  readonly slowness: number;
}

/** How often this rank's requests chose each expert. */
export interface RankCounts extends OfLife {
  readonly epoch: number;
  /** Since the rank's start: set * experts + expert. */
  readonly counts: readonly number[];
}

/** The experts of one rank, by set. */
export type RankExperts = readonly (readonly number[])[];

/** What a rank has on it. */
export interface HeldExperts extends OfLife {
  readonly experts: RankExperts;
}

/** A map: experts by set and rank. */
export type MapSets = readonly (readonly (readonly number[])[])[];

/** A map that all ranks are to change to. */
export interface MapGoal {
  readonly version: number;
  readonly sets: MapSets;
  /** Rank that holds the step. */
  readonly holder: number;
}

export type RankOrder =
  | {
      readonly kind: "prepare";
      readonly version: number;
      readonly sets: MapSets;
    }
  | { readonly kind: "arm"; readonly version: number; readonly step: number }
  | { readonly kind: "disarm"; readonly version: number }
  | HoldOrder
  | { readonly kind: "release"; readonly step: number };

/** The step isn't begun before it is released. */
export interface HoldOrder {
  readonly kind: "hold";
  readonly step: number;
}

/** What is ordered over the agent beside a rank. */
export type AgentOrder = Exclude<RankOrder, HoldOrder>;

/** Makes an order harmless once it is out of date. */
export interface OrderFence {
  readonly epoch: number;
  readonly fencing: number;
}

export type OrderOutcome =
  /** `isDone`: the rank is in the ordered state, not only on its way. */
  | { readonly kind: "accepted"; readonly isDone: boolean }
  | { readonly kind: "refused"; readonly status: number }
  /** A planner with a higher fencing number has ordered already. */
  | { readonly kind: "fenced" };

/** What became of an order, as the life that took it or refused it says. */
export type OrderResult = OfLife & OrderOutcome;

/**
 * One rank, as the adapter of a platform reaches it. All throw 1607, and 1903
 * for an answer that can't be decoded.
 */
export interface RankPort {
  readonly observe: () => Promise<RankState>;
  readonly counts: () => Promise<RankCounts>;
  readonly experts: () => Promise<HeldExperts>;
  readonly order: (order: RankOrder, fence: OrderFence) => Promise<OrderResult>;
}

/** What an agent answers, decoded. */
export interface Observation {
  readonly state: RankState;
  /** Since the last observation with counts; empty unless asked for. */
  readonly counts: readonly number[];
  readonly countedMs: number;
  /** By set; empty unless asked for. */
  readonly experts: RankExperts;
}

/** A hold that the planner is about to order, at one life of the runner. */
export interface WatchedHold extends OfLife {
  readonly step: number;
  readonly fence: OrderFence;
}

/** A rank that can be reached. */
export interface GroupRank {
  /** host:port of its runner. */
  readonly address: string;
  readonly observe: (request: {
    readonly withCounts: boolean;
    readonly withExperts: boolean;
  }) => Promise<Observation>;
  readonly order: (
    order: AgentOrder,
    fence: OrderFence,
  ) => Promise<OrderResult>;
  /** Has the rank hold a step, with its agent watching over it. */
  readonly hold: (hold: WatchedHold) => Promise<OrderResult>;
  /** Whether a later life of the runner than this one has been seen. */
  readonly isOver: (startedAtMs: LifeStart) => boolean;
}
