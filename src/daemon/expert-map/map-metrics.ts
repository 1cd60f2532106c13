/** Figures of map changes: what switching and moving experts costs. */
import {
  ApricotdeckError,
  type EngineMapState,
  type Measurements,
  type ProposalEnd,
} from "../../internal.js";

export class MapMetrics {
  private heldTotalMs = 0;
  private bytes = 0;

  private constructor(private readonly measurements: Measurements) {}

  static create(measurements: Measurements): MapMetrics {
    return new MapMetrics(measurements);
  }

  ended(end: ProposalEnd, durationMs: number): void {
    const label = end instanceof ApricotdeckError ? end.entry.name : end;
    this.measurements.count("mapProposals", { end: label });
    this.measurements.observe("mapSwitchDuration", durationMs / 1000);
  }

  checked(reports: number): void {
    this.measurements.count("stepReports", {}, reports);
  }

  observe(state: EngineMapState, fetchedBytes: number): void {
    this.measurements.set("mapVersion", state.version);
    this.measurements.count("mapFetchedBytes", {}, fetchedBytes - this.bytes);
    this.bytes = fetchedBytes;
    // Falls back to nothing when the engine starts again.
    const more = Math.max(0, state.heldTotalMs - this.heldTotalMs);
    this.measurements.count("mapHeld", {}, more / 1000);
    this.heldTotalMs = state.heldTotalMs;
  }
}
