/** Figures of map changes: what switching and moving experts costs. */
import { Counter, Gauge, Histogram, type Registry } from "prom-client";
import {
  ApricotdeckError,
  type EngineMapState,
  type ProposalEnd,
} from "../../internal.js";

const SWITCH_BUCKETS = [0.2, 0.5, 1, 2, 5, 10, 30, 60, 120, 300];

export class MapMetrics {
  private readonly ends: Counter<"end">;
  private readonly switchSeconds: Histogram;
  private readonly heldSeconds: Counter;
  private readonly fetchedBytes: Counter;
  private readonly version: Gauge;
  private readonly reports: Counter;
  private heldTotalMs = 0;
  private bytes = 0;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.ends = new Counter({
      name: "apricotdeck_map_proposals_total",
      help: "Proposals of this agent by their end.",
      labelNames: ["end"],
      registers,
    });
    this.switchSeconds = new Histogram({
      name: "apricotdeck_map_switch_seconds",
      help: "Time from a proposal of this agent to its end.",
      buckets: SWITCH_BUCKETS,
      registers,
    });
    this.heldSeconds = new Counter({
      name: "apricotdeck_map_held_seconds_total",
      help: "Time that the engine held at an undecided step.",
      registers,
    });
    this.fetchedBytes = new Counter({
      name: "apricotdeck_map_fetched_bytes_total",
      help: "Bytes of weights fetched for maps.",
      registers,
    });
    this.version = new Gauge({
      name: "apricotdeck_map_version",
      help: "Version of the map that the engine runs on.",
      registers,
    });
    this.reports = new Counter({
      name: "apricotdeck_step_reports_total",
      help: "Step reports that were checked against the expected map.",
      registers,
    });
  }

  static create(registry: Registry): MapMetrics {
    return new MapMetrics(registry);
  }

  ended(end: ProposalEnd, durationMs: number): void {
    const label = end instanceof ApricotdeckError ? end.entry.name : end;
    this.ends.inc({ end: label });
    this.switchSeconds.observe(durationMs / 1000);
  }

  checked(reports: number): void {
    this.reports.inc(reports);
  }

  observe(state: EngineMapState, fetchedBytes: number): void {
    this.version.set(state.version);
    this.fetchedBytes.inc(fetchedBytes - this.bytes);
    this.bytes = fetchedBytes;
    // Falls back to nothing when the engine starts again.
    const more = state.heldTotalMs - this.heldTotalMs;
    this.heldSeconds.inc(Math.max(0, more) / 1000);
    this.heldTotalMs = state.heldTotalMs;
  }
}
