/**
 * Moving averages of how long the requests of each route take at the runners.
 */
import type { Route } from "../routing/types.js";

/**
 * Weight of a new response in the moving average of a route's response times.
 */
const SMOOTHING_FACTOR = 0.1;

export class RouteTimes {
  private readonly meanDurationsMs = new Map<Route["name"], number>();
  /** Mean time from the start of an attempt to the response's, by route, ms. */
  private readonly meanStartsMs = new Map<Route["name"], number>();

  private constructor() {
    // Instances come from create().
  }

  static create(): RouteTimes {
    return new RouteTimes();
  }

  /** Mean time from a request's start to its end, ms; 0 if unknown. */
  durationMsOf(route: Route["name"]): number {
    return this.meanDurationsMs.get(route) ?? 0;
  }

  /** Mean time from a request's start to its response's, ms; 0 if unknown. */
  startMsOf(route: Route["name"]): number {
    return this.meanStartsMs.get(route) ?? 0;
  }

  onEnded(route: Route["name"], durationMs: number): void {
    updateMean(this.meanDurationsMs, route, durationMs);
  }

  onResponseStarted(route: Route["name"], delayMs: number): void {
    updateMean(this.meanStartsMs, route, delayMs);
  }
}

function updateMean(
  means: Map<Route["name"], number>,
  route: Route["name"],
  valueMs: number,
): void {
  const known = means.get(route) ?? valueMs;
  means.set(route, known + SMOOTHING_FACTOR * (valueMs - known));
}
