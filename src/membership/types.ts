/** Types of membership: the backend servers that registered themselves. */

export interface BackendServer {
  /** New for every start of a runner. */
  readonly id: string;
  readonly service: string;
  /** host:port; may belong to another runner later. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** A leaving one takes no new work. */
  readonly isLeaving: boolean;
  /** Rises with each registration of one id. */
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
