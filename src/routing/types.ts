/** Types of routing: what an operator's configuration says of requests. */

/** What may be repeated, and how the answer comes. */
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
  /** Longest time to the final answer, ms. */
  readonly timeoutMs: number;
  /** Time in which an answer, or a stream's first event, is on time, ms. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that is on time, ms. */
  readonly pauseObjectiveMs: number;
  /** Runners that one request may be sent to. */
  readonly maximumAttempts: number;
  /** 0 is served first. */
  readonly priority: number;
  /** Open to callers without a credential. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another runner after its last event. */
  readonly isResumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** What the operator says of the engines of a service. */
export interface EngineFigures {
  /** Requests that one engine batches at once. */
  readonly slots: number;
  /** Steps that a pass with running answers makes. */
  readonly stepsPerPass: number;
  /** Sets of layers that have a map of their own; 0 without expert maps. */
  readonly expertSets: number;
  readonly experts: number;
  /** Experts that a rank can hold in one set. */
  readonly slotsPerRank: number;
  /** Experts new to a rank that one map may bring in one set. */
  readonly maximumNewExperts: number;
  /** Time in which a rank copies one expert over its link, ms. */
  readonly expertCopyMs: number;
}

export interface Service {
  readonly name: string;
  /** Connections that one runner accepts from all callers together. */
  readonly maximumConnections: number;
  /** Absent for plain services. */
  readonly engine: EngineFigures | undefined;
}

export interface ClientAccount {
  readonly name: string;
  readonly credentials: readonly string[];
  /** Takes precedence over the route's priority. */
  readonly priority: number | undefined;
}

/** Limits on what a caller sends. */
export interface CallerBounds {
  readonly headBytes: number;
  readonly bodyBytes: number;
  readonly headMs: number;
  /** How long a connection may be idle between two requests, ms. */
  readonly idleMs: number;
}

export interface SiteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Empty where requests need no credential. */
  readonly accounts: readonly ClientAccount[];
  readonly bounds: CallerBounds;
}
