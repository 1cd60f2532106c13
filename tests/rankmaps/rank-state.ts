import type { RankState } from "../../src/rankmaps/types.js";

/** A rank of an open group on its first map, without a switch in progress. */
export const RANK_STATE: RankState = {
  group: "g",
  epoch: 1,
  rank: 2,
  size: 4,
  isOpen: true,
  step: 7,
  mapVersion: 0,
  preparedVersion: undefined,
  armed: undefined,
  heldStep: undefined,
  slowness: 1,
  startedAtMs: undefined,
};
