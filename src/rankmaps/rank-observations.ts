/** What the observations of a group's ranks and their answers to orders say. */
import {
  compareIncarnations,
  type IncarnationStart,
} from "../membership/incarnation.js";
import type { PaceNote } from "../membership/slow-runners.js";
import type {
  GroupRank,
  Observation,
  OrderResult,
  RankState,
} from "./types.js";

/** Whether the rank confirms that its order has taken effect. */
export function isConfirmed(result: OrderResult | undefined): boolean {
  return result?.kind === "accepted" && result.isDone;
}

export function hasSameIncarnations(
  states: readonly RankState[],
  startTimes: readonly IncarnationStart[],
): boolean {
  return states.every(
    ({ rank, startedAtMs }) =>
      compareIncarnations(startTimes[rank], startedAtMs) === "same",
  );
}

export function hasRestartedRank(
  ranks: readonly GroupRank[],
  states: readonly RankState[],
): boolean {
  return states.some(({ startedAtMs }, index) =>
    ranks[index].isSuperseded(startedAtMs),
  );
}

export function paceNotesOf(
  ranks: readonly GroupRank[],
  observations: readonly Observation[],
): readonly PaceNote[] {
  return ranks.map(({ address }, index) => ({
    address,
    slowness: observations[index].state.slowness,
    startedAtMs: observations[index].state.startedAtMs,
  }));
}

export function speedsOf(states: readonly RankState[]): Float64Array {
  const speeds = new Float64Array(states.length);
  for (const { rank, slowness } of states) speeds[rank] = 1 / slowness;
  return speeds;
}
