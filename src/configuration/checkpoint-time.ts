/** When a process that reads the log appends a checkpoint. */
import type { ConfigurationState } from "./types.js";

/**
 * A third of the ten minutes for which the log keeps records at least: two
 * writers may miss their turn before the chain is trimmed.
 */
export const CHECKPOINT_AFTER_MS = 200_000;

/** Spreads the writers, so that the first one spares the others theirs. */
export const CHECKPOINT_SPREAD_MS = 60_000;

/** `turn` in [0, 1) is drawn once for each process. */
export function isCheckpointDue(
  { chain, anchoredAtMs }: ConfigurationState,
  nowMs: number,
  turn: number,
): boolean {
  if (chain.kind === "unknown" || chain.head === null) return false;
  const waitMs = CHECKPOINT_AFTER_MS + turn * CHECKPOINT_SPREAD_MS;
  return anchoredAtMs === null || nowMs - anchoredAtMs >= waitMs;
}
