/** State shared by all parts of a daemon process. */
import { randomUUID } from "node:crypto";
import type { Registry } from "prom-client";
import { HybridClock, type Emit, type Measurements } from "../internal.js";
import { EventLog } from "./event-log.js";
import { registerMetrics } from "./metrics-registry.js";
import type { Settings } from "./settings.js";

export interface ProcessContext {
  readonly name: string;
  readonly dataCentre: string;
  /** New on every start, so that a restarted process can be distinguished. */
  readonly incarnation: string;
  readonly clock: HybridClock;
  readonly events: EventLog;
  readonly emit: Emit;
  readonly metrics: Registry;
  readonly measurements: Measurements;
}

export function createContext(settings: Settings): ProcessContext {
  const { name, dataCentre, logLevel } = settings;
  const clock = HybridClock.create();
  const events = EventLog.create(name, clock, logLevel);
  const incarnation = randomUUID();
  const { emit } = events;
  const labels = { process: name, data_centre: dataCentre };
  const { registry: metrics, measurements } = registerMetrics(labels);
  return {
    name,
    dataCentre,
    incarnation,
    clock,
    events,
    emit,
    metrics,
    measurements,
  };
}
