/**
 * Types shared by the expert-map planner, the agents and the platform adapters:
 * rank state, orders and maps. They apply to engines that can hold a step on
 * request.
 */

import type { IncarnationStart } from "../membership/incarnation.js";

/** Reported by one incarnation of a runner; not valid for a later one. */
export interface IncarnationScoped {
  readonly startedAtMs: IncarnationStart;
}

export interface ArmedMap {
  readonly version: number;
  /** The rank switches to the map when it begins this step. */
  readonly step: number;
}

/** State that a rank reports about itself. */
export interface RankState extends IncarnationScoped {
  /** Group formed by the platform; its ranks execute every step together. */
  readonly group: string;
  /** Changes whenever the group is formed again. */
  readonly epoch: number;
  readonly rank: number;
  readonly size: number;
  /** False while a rank of the group is missing. */
  readonly isOpen: boolean;
  /** Latest step that was begun. */
  readonly step: number;
  readonly mapVersion: number;
  /** Version whose weights the rank has loaded completely. */
  readonly preparedVersion: number | undefined;
  readonly armed: ArmedMap | undefined;
  /** Step that the group doesn't begin until this rank is released. */
  readonly heldStep: number | undefined;
  /** Ratio of the rank's processing time to its normal one; 1 is normal. */
  readonly slowness: number;
  /** Requests that the runner processes; undefined if not reported. */
  readonly running?: number | undefined;
  /** Requests that wait at the runner; undefined if not reported. */
  readonly waiting?: number | undefined;
}

/** How often this rank's requests selected each expert. */
export interface RankCounts extends IncarnationScoped {
  readonly epoch: number;
  /** Cumulative since the rank started; indexed by set * experts + expert. */
  readonly counts: readonly number[];
}

/** The experts of one rank, by set. */
export type RankExperts = readonly (readonly number[])[];

/** Experts that are loaded on a rank. */
export interface HeldExperts extends IncarnationScoped {
  readonly experts: RankExperts;
}

/** An expert map: experts by set and rank. */
export type MapSets = readonly (readonly (readonly number[])[])[];

/** A map that all ranks are to switch to. */
export interface MapGoal {
  readonly version: number;
  readonly sets: MapSets;
  /** Rank that holds the step during the switch. */
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

/** The group doesn't begin the step until this rank is released. */
export interface HoldOrder {
  readonly kind: "hold";
  readonly step: number;
}

/**
 * Orders that are sent through the rank's agent; holds go to the runner
 * directly.
 */
export type AgentOrder = Exclude<RankOrder, HoldOrder>;

/**
 * Lets a rank reject an order from an earlier epoch or a superseded planner.
 */
export interface OrderFence {
  readonly epoch: number;
  readonly fencing: number;
}

export type OrderOutcome =
  /**
   * `isDone`: the rank has reached the ordered state, rather than only started
   * towards it.
   */
  | { readonly kind: "accepted"; readonly isDone: boolean }
  | { readonly kind: "refused"; readonly status: number }
  /** An order with a higher fencing token has been accepted already. */
  | { readonly kind: "fenced" };

/**
 * Result of an order, reported by the incarnation that accepted or refused it.
 */
export type OrderResult = IncarnationScoped & OrderOutcome;

/**
 * Access to one rank's runner, implemented by the platform adapter. All methods
 * throw 1607, and 1903 for a response that can't be decoded.
 */
export interface RankPort {
  readonly observe: () => Promise<RankState>;
  readonly counts: () => Promise<RankCounts>;
  readonly experts: () => Promise<HeldExperts>;
  readonly order: (order: RankOrder, fence: OrderFence) => Promise<OrderResult>;
}

/** Decoded response of an agent. */
export interface Observation {
  readonly state: RankState;
  /**
   * Selections per expert since the last observation with counts; empty unless
   * requested.
   */
  readonly counts: readonly number[];
  readonly countedMs: number;
  /** By set; empty unless requested. */
  readonly experts: RankExperts;
  /**
   * Version of a map that the agent can apply changes to; absent if it knows
   * none, is of an older release, or wasn't asked.
   */
  readonly knownMap?: number | undefined;
}

/**
 * A hold that the planner is about to order from one incarnation of a runner.
 */
export interface WatchedHold extends IncarnationScoped {
  readonly step: number;
  readonly fence: OrderFence;
}

/** Access to a rank through its agent or its runner. */
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
  /**
   * Orders the rank to hold a step after its agent has started to guard the
   * hold.
   */
  readonly hold: (hold: WatchedHold) => Promise<OrderResult>;
  /** Whether a later incarnation of the runner has been seen. */
  readonly isSuperseded: (startedAtMs: IncarnationStart) => boolean;
}
