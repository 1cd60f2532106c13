/** Loads of a group's runners, as its planner has observed them. */
import type { RunnerLoad } from "../loadview/types.js";
import type { GroupRank, RankState } from "./types.js";

/**
 * In the order of the ranks; empty if a runner doesn't report its load.
 * `states`: in the same order.
 */
export function runnerLoadsOf(
  ranks: readonly GroupRank[],
  states: readonly RankState[],
): readonly RunnerLoad[] {
  const loads = ranks.flatMap(({ address }, index) => {
    const { running, waiting } = states[index];
    if (running === undefined || waiting === undefined) return [];
    return { address, running, waiting };
  });
  return loads.length === ranks.length ? loads : [];
}
