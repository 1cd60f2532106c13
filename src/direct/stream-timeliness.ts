/**
 * Whether a stream was in time, and if not, why: its first event took longer
 * than the route's objective, or a pause between two events did.
 */
import type { Route } from "../routing/types.js";

export type Timeliness =
  "in-time" | "late-start" | "late-pause" | "late-start-and-pause";

export type StreamObjectives = Pick<Route, "objectiveMs" | "pauseObjectiveMs">;

export class StreamTimeliness {
  private isStartLate = false;
  private isPauseLate = false;

  private constructor(private readonly objectives: StreamObjectives) {}

  static create(objectives: StreamObjectives): StreamTimeliness {
    return new StreamTimeliness(objectives);
  }

  get result(): Timeliness {
    if (this.isStartLate) {
      return this.isPauseLate ? "late-start-and-pause" : "late-start";
    }
    return this.isPauseLate ? "late-pause" : "in-time";
  }

  /** `delayMs`: time since the request arrived. */
  onFirstEvent(delayMs: number): void {
    this.isStartLate = delayMs > this.objectives.objectiveMs;
  }

  onPause(pauseMs: number): void {
    this.isPauseLate ||= pauseMs > this.objectives.pauseObjectiveMs;
  }
}
