/**
 * Tells callers that come back from new ones. Each attempt of a caller has an id
 * of its own, but a caller that comes back has less time left than the callers
 * of its route have at first.
 */
import type { Route } from "../routing/types.js";

/**
 * Time that a caller has lost at least when it comes back, ms: the shortest
 * retry delay.
 */
const MINIMUM_LOST_MS = 100;
/** Rate at which a longer time left is forgotten, per call. */
const FORGETTING_RATE = 0.001;

export class ReturningCallers {
  /** Longest time that callers of a route have, ms. */
  private readonly longestMs = new Map<Route["name"], number>();

  private constructor() {
    // Instances come from create().
  }

  static create(): ReturningCallers {
    return new ReturningCallers();
  }

  /**
   * Whether the caller comes back. `leftMs`: time that it says that it has left,
   * which is remembered.
   */
  isReturn(route: Route["name"], leftMs: number | undefined): boolean {
    if (leftMs === undefined) return false;
    const known = this.longestMs.get(route) ?? leftMs;
    const decayed = known - (known - leftMs) * FORGETTING_RATE;
    this.longestMs.set(route, Math.max(leftMs, decayed));
    return leftMs < known - MINIMUM_LOST_MS;
  }
}
