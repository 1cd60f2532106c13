/** Types of membership: the backend servers that registered themselves. */
import type { LifeStart } from "./life.js";

export interface BackendServer {
  /** Kept over a restart; with `startedAtMs` it names one life. */
  readonly id: string;
  readonly startedAtMs: LifeStart;
  readonly service: string;
  /** host:port; may belong to another runner later. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** A leaving one takes no new work. */
  readonly isLeaving: boolean;
  /** Rises with each registration of one life. */
  readonly heartbeat: number;
}

/** One change of the register: a registration, or the end of one. */
export interface RegisterChange {
  readonly id: string;
  /** Absent when the registration was removed or has lapsed. */
  readonly server: BackendServer | undefined;
  /** Set where the record is there and names no runner to use. */
  readonly isUnusable?: boolean;
}

/** Runs the action after the time, ms, or as soon as it can at 0. */
export type After = (delayMs: number, action: () => void) => void;
