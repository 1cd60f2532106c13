/** Types of membership: backend servers that registered themselves. */
import type { IncarnationStart } from "./incarnation.js";

export interface BackendServer {
  /**
   * Unchanged by a restart; together with `startedAtMs` it identifies one
   * incarnation.
   */
  readonly id: string;
  readonly startedAtMs: IncarnationStart;
  readonly service: string;
  /** host:port; may later belong to another runner. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** Time for which it stays cold after the registration, ms; 0 when warm. */
  readonly coldLeftMs: number;
  /** A leaving server accepts no new requests. */
  readonly isLeaving: boolean;
  /** Increases with each registration of one incarnation. */
  readonly heartbeat: number;
}

/** A change of the register: a registration or the end of one. */
export interface RegisterChange {
  readonly id: string;
  /** Undefined if the registration was removed or has expired. */
  readonly server: BackendServer | undefined;
  /** Set if the record exists but doesn't describe a usable runner. */
  readonly isUnusable?: boolean;
}

/** Schedules the action after the delay, ms; with 0, as soon as possible. */
export type ScheduleAfter = (delayMs: number, action: () => void) => void;
