/** Types of one runner as seen by one entry. */
import type { IncarnationStart } from "../membership/incarnation.js";
import type { RunnerStatements } from "../membership/runner-statements.js";
import type { BackendServer } from "../membership/types.js";
import type { RunnerHealth } from "../placement/health.js";
import type { RunnerConnections } from "./runner-connections.js";

/** One incarnation of a runner; a later one gets its own object. */
export interface Runner {
  /** The registration, as last read. */
  server: BackendServer;
  connections: RunnerConnections;
  /** Replaced connections whose requests haven't ended. */
  readonly retiredConnections: Set<RunnerConnections>;
  readonly health: RunnerHealth;
  /** Running attempts of this entry at the runner. */
  running: number;
  /**
   * Monotonic time until which the runner gets no new requests because it
   * refused the last one, ms.
   */
  backoffUntilMs: number;
  /**
   * A later incarnation has started; results of attempts at this one are
   * ignored.
   */
  isEnded: boolean;
}

/**
 * Running attempts of this entry at some runners, and the slots of those
 * runners.
 */
export interface SlotUsage {
  readonly running: number;
  readonly slots: number;
}

/**
 * Returns whether the incarnation with this address (host:port) and start time
 * is slow.
 */
export type IsSlow = (
  address: string,
  startedAtMs: IncarnationStart,
) => boolean;

/** False for runners in data centres that the operator has evacuated. */
export type IsUsable = (server: BackendServer) => boolean;

/** What runners have said of their own state. */
export type ReadStatements = Pick<
  RunnerStatements,
  "isLeaving" | "restUntilMs"
>;

/** Limits that runners name for the requests that they receive. */
export interface RequestLimits {
  /** Whether a request may be sent to the runner now. `runner`: its id. */
  readonly isOpen: (runner: string) => boolean;
  /** A request is sent to the runner. */
  readonly onSent: (runner: string) => void;
  /** The runner's incarnation has ended. */
  readonly forget: (runner: string) => void;
  /** Whether the runner is cold, and so slow. */
  readonly isCold: (runner: string) => boolean;
  /** The runner's address refuses connections: it starts again. */
  readonly onUnreachable: (runner: string) => void;
  /** A connection to the runner was lost, has fallen silent or wasn't opened. */
  readonly onLost: (runner: string) => void;
}

/**
 * What the end of an attempt says about the runner. All of "failed", "lost" and
 * "unreachable" are failures; the last two may mean that it starts again.
 */
export type RunnerVerdict =
  | "served"
  | "failed"
  | "lost"
  | "unreachable"
  | "server-error"
  /** It has asked for rest. */
  | "resting"
  | "full"
  | "replaced"
  | "none";
