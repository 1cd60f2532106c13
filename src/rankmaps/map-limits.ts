/** How much one map of an engine may change. */
import type { EngineProperties } from "../routing/types.js";
import type { MapLimits } from "./map-planner.js";

/**
 * Time budget for the copies of one map, ms. A shorter one spends more of the
 * time on switching; with a longer one demand shifts before the map is active.
 */
const COPY_BUDGET_MS = 450;

export function limitsOf(engine: EngineProperties): MapLimits {
  const { expertCopyMs, maximumNewExperts } = engine;
  const fitting = Math.floor(COPY_BUDGET_MS / Math.max(1, expertCopyMs));
  return {
    maximumCopiesPerRank: Math.max(1, fitting),
    maximumCopiesPerSet: Math.max(1, maximumNewExperts),
    expertCopyMs,
  };
}
