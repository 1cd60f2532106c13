/** Schedule of the checkpoints that readers append to the log. */
import type { ConfigurationState } from "./types.js";

/**
 * A third of the log's minimum retention of ten minutes, so that two
 * checkpoints in a row may be missed before the log trims the latest link.
 */
export const CHECKPOINT_INTERVAL_MS = 200_000;

/**
 * Spreads the writers in time, so that the first checkpoint makes those of the
 * other writers unnecessary.
 */
export const CHECKPOINT_JITTER_MS = 60_000;

/** `jitter`: in [0, 1), drawn once per process. */
export function isCheckpointDue(
  { chain, anchoredAtMs }: ConfigurationState,
  nowMs: number,
  jitter: number,
): boolean {
  if (chain.kind === "unknown" || chain.head === null) return false;
  const waitMs = CHECKPOINT_INTERVAL_MS + jitter * CHECKPOINT_JITTER_MS;
  return anchoredAtMs === null || nowMs - anchoredAtMs >= waitMs;
}
