/** What a runner says of its own state in an answer. */
export interface RunnerStatement {
  /**
   * Time for which it wants no requests from this process, ms; undefined if it
   * doesn't ask for rest.
   */
  readonly restMs: number | undefined;
  /** Set if it asks for rest with a value that can't be read. */
  readonly unreadableRest: string | undefined;
  /** It leaves and wants no new requests any more. */
  readonly isLeaving: boolean;
}

export const NO_STATEMENT: RunnerStatement = {
  restMs: undefined,
  unreadableRest: undefined,
  isLeaving: false,
};

/** The kind of call that a runner answered, for the log. */
export type StatementCause = "request" | "probe";
