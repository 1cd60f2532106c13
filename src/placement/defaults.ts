/** Defaults for what neither settings nor measurements provide. */
import type { PlacementSettings, PlacementTuning } from "./types.js";

export const DEFAULT_TUNING: PlacementTuning = {
  fullScanLimit: 16,
  sampleCount: 8,
  maximumHolders: 4,
  reportDecayMs: 300,
  occupancyPenaltyMs: 20,
  slownessDecayMs: 10_000,
};

/** Assumes 0.5 ms one way between data centres and engine steps of 5 ms. */
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
