/** Metrics of map switches: their outcome, duration and transferred weights. */
import {
  ApricotdeckError,
  type EngineMapState,
  type Measurements,
  type ProposalResult,
} from "../../internal.js";

export class MapMetrics {
  private lastHeldTotalMs = 0;
  private lastFetchedBytes = 0;

  private constructor(private readonly measurements: Measurements) {}

  static create(measurements: Measurements): MapMetrics {
    return new MapMetrics(measurements);
  }

  observeProposalEnd(end: ProposalResult, durationMs: number): void {
    const label = end instanceof ApricotdeckError ? end.entry.name : end;
    this.measurements.count("mapProposals", { end: label });
    this.measurements.observe("mapSwitchDuration", durationMs / 1000);
  }

  countStepReports(reports: number): void {
    this.measurements.count("stepReports", {}, reports);
  }

  observeEngineState(state: EngineMapState, fetchedBytes: number): void {
    this.measurements.set("mapVersion", state.version);
    this.measurements.count(
      "mapFetchedBytes",
      {},
      fetchedBytes - this.lastFetchedBytes,
    );
    this.lastFetchedBytes = fetchedBytes;
    // The engine's total restarts at zero when the engine restarts.
    const heldDeltaMs = Math.max(0, state.heldTotalMs - this.lastHeldTotalMs);
    this.measurements.count("mapHeld", {}, heldDeltaMs / 1000);
    this.lastHeldTotalMs = state.heldTotalMs;
  }
}
