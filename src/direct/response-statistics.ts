/**
 * Usual response times of one service, by route: a moving mean and a moving
 * mean deviation, as TCP keeps them for its retransmission timeout.
 */

interface Usual {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly count: number;
}

/** Weight of a new response in the mean and in the deviation. */
const SMOOTHING_FACTOR = 0.1;
/** Responses from which on a route's statistics are used. */
const MINIMUM_RESPONSES = 5;
/** Multiple of the mean after which a response is no longer expected soon. */
const MEAN_MULTIPLE = 3;
/** Deviations beyond the mean after which a response isn't expected soon. */
const DEVIATION_MULTIPLE = 4;
/** The same time as a share of the objective while there are no statistics. */
const UNKNOWN_SHARE_OF_OBJECTIVE = 0.5;

export class ResponseStatistics {
  private readonly usual = new Map<string, Usual>();

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): ResponseStatistics {
    return new ResponseStatistics();
  }

  /** Mean response time of the route, ms; undefined while unknown. */
  meanMsOf(route: string): number | undefined {
    const usual = this.usual.get(route);
    return usual === undefined || usual.count < MINIMUM_RESPONSES
      ? undefined
      : usual.meanMs;
  }

  /**
   * Time without a response after which a request counts as hung, ms.
   * `objectiveMs`: objective of the route.
   */
  hungAfterMs(route: string, objectiveMs: number): number {
    const usual = this.usual.get(route);
    if (usual === undefined || usual.count < MINIMUM_RESPONSES) {
      return objectiveMs * UNKNOWN_SHARE_OF_OBJECTIVE;
    }
    const { meanMs, deviationMs } = usual;
    return Math.max(
      meanMs * MEAN_MULTIPLE,
      meanMs + deviationMs * DEVIATION_MULTIPLE,
    );
  }

  onResponse(route: string, durationMs: number): void {
    const known = this.usual.get(route);
    if (known === undefined) {
      const deviationMs = durationMs / 2;
      this.usual.set(route, { meanMs: durationMs, deviationMs, count: 1 });
      return;
    }
    const error = durationMs - known.meanMs;
    const deviationError = Math.abs(error) - known.deviationMs;
    this.usual.set(route, {
      meanMs: known.meanMs + SMOOTHING_FACTOR * error,
      deviationMs: known.deviationMs + SMOOTHING_FACTOR * deviationError,
      count: known.count + 1,
    });
  }
}
