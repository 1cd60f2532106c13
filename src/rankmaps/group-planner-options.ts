/** What the planner of a group works with. */
import type { Emit, Measurements } from "../internal.js";
import type { EngineProperties } from "../routing/types.js";
import type { PaceReporter } from "./pace-reporter.js";
import type { PlannerLease } from "./planner-lease.js";
import type { SwitchCoordinators } from "./switch-coordinator.js";
import type { GroupRank, RankState } from "./types.js";

export interface GroupPlannerOptions {
  readonly lease: Pick<PlannerLease, "generation" | "relinquish">;
  /** Shared by the whole process, so they outlive this planner. */
  readonly coordinators: SwitchCoordinators;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly pace: Pick<PaceReporter, "report">;
  /** Called with the state of each rank, in the order of the ranks. */
  readonly onObserved?: (
    ranks: readonly GroupRank[],
    states: readonly RankState[],
  ) => void;
  readonly engine: EngineProperties;
  /**
   * The group that the lease is for. A runner may restart in another group, and
   * fencing tokens of two groups' leases can't be compared.
   */
  readonly group: string;
  /**
   * Epoch that the rank numbers belong to; the next epoch may renumber the
   * ranks.
   */
  readonly epoch: number;
  /**
   * Rank that holds steps. It isn't the planner's own rank: if this process
   * freezes, the holder's agent completes or cancels the switch.
   */
  readonly holder: number;
}
