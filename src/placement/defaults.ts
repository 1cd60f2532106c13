/** Figures that hold where neither settings nor measurements say otherwise. */
import type { PlacementSettings, PlacementTuning } from "./types.js";

export const DEFAULT_TUNING: PlacementTuning = {
  scanUpTo: 16,
  samples: 8,
  holders: 4,
  reportTrustMs: 300,
  occupancyMs: 20,
  slownessMemoryMs: 10_000,
};

/** Half a millisecond one way between data centres, steps of 5 ms. */
export function defaultPlacementSettings(
  dataCentre: string,
): PlacementSettings {
  return {
    dataCentre,
    distanceMs: (other) => (other === dataCentre ? 0 : 1),
    blockTokens: 256,
    prefillMsPerToken: 0.05,
    stepMs: 5,
    adapterLoadMs: 500,
    kvTransfer: undefined,
    queueShare: 0.5,
  };
}
