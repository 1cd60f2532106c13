/** Types of routing, as given by the operator's configuration. */

/** Whether requests may be repeated, and whether answers are streamed. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

export interface ServiceShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time to the final answer, ms. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream, ms. */
  readonly objectiveMs: number;
  /** Target for the longest pause between two events of a stream, ms. */
  readonly pauseObjectiveMs: number;
  /** Maximum number of runners that a request is sent to. */
  readonly maximumAttempts: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether callers need no credential. */
  readonly isPublic: boolean;
  /** Whether another runner may resume a broken stream after its last event. */
  readonly isResumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** Properties of a service's engines, set by the operator. */
export interface EngineProperties {
  /** Requests that an engine runs in one batch. */
  readonly slots: number;
  /** Steps by which an engine advances at once while answers are running. */
  readonly stepsPerPass: number;
  /** Number of layer sets with their own expert map; 0 without expert maps. */
  readonly expertSets: number;
  readonly experts: number;
  /** Maximum number of experts that a rank holds per set. */
  readonly slotsPerRank: number;
  /** Maximum number of experts that a map may add to a rank per set. */
  readonly maximumNewExperts: number;
  /** Time to copy one expert to a rank over its link, ms. */
  readonly expertCopyMs: number;
}

export interface Service {
  readonly name: string;
  /** Maximum number of connections that a runner accepts from all callers. */
  readonly maximumConnections: number;
  /**
   * Requests that a cold runner takes from all entries together, requests/s.
   * NaN if the configuration's value is unusable; undefined without a bound.
   */
  readonly coldRequestsPerSecond?: number | undefined;
  /** Time for which a runner is cold after its start, ms. */
  readonly coldStartMs?: number | undefined;
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
}

export interface ClientAccount {
  readonly name: string;
  readonly credentials: readonly string[];
  /** Takes precedence over the route's priority. */
  readonly priority: number | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerBounds {
  readonly headBytes: number;
  readonly bodyBytes: number;
  readonly headMs: number;
  /** Maximum idle time of a connection between two requests, ms. */
  readonly idleMs: number;
}

export interface SiteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Empty if requests need no credential. */
  readonly accounts: readonly ClientAccount[];
  readonly bounds: CallerBounds;
}
