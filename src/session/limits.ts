/** Timeouts, retry limits and buffer sizes of sessions; times in ms. */

export interface SessionLimits {
  /**
   * Interval of an entry's heartbeats. An agent sends a heartbeat after
   * sending no other frame for this long.
   */
  readonly heartbeatMs: number;
  /** A side that receives nothing for this long ends the session. */
  readonly silentAfterMs: number;
  /** Timeout for the agent's reply to the opening of a session. */
  readonly openMs: number;
  /** Initial and maximum backoff between connection attempts. */
  readonly reconnectMs: number;
  readonly reconnectMaximumMs: number;
  /** Timeout for the agent to confirm the close of a lost session. */
  readonly doubtMs: number;
  /** Timeout for a new session on which a started run can be resumed. */
  readonly resumeMs: number;
  /** Delay before an unanswered close is retried. */
  readonly closeAgainMs: number;
  /** Maximum dispatches of one request, including refused ones. */
  readonly placements: number;
  /** Maximum resumptions of one request. */
  readonly resumes: number;
  /** How long an agent keeps an answer that no entry reads. */
  readonly holdMs: number;
  /** Maximum bytes that an agent buffers per answer, and in total. */
  readonly holdRunBytes: number;
  readonly holdTotalBytes: number;
  /** How long an agent keeps the state of a closed session. */
  readonly proofMs: number;
  /**
   * Retention and maximum number of the attempts that an agent has withdrawn,
   * and likewise of those that it has started as work that may run at most
   * once. The retention exceeds the longest deadline, after which no entry
   * dispatches the attempt any more.
   */
  readonly rememberMs: number;
  readonly rememberAttempts: number;
}

/**
 * Sized for a few entries, a dozen runners and thousands of streams.
 * Silence of less than two seconds occurs daily (garbage collection, busy VMs);
 * treating it as a loss would resume every stream between the entry and the
 * agent. The close timeout leaves room for three closes. The resume timeout is
 * longer, because only the same run can complete a started answer: it leaves
 * room for an agent restart and for a second connection that falls silent.
 * Closed sessions are kept far longer than any entry asks about them.
 */
export const SESSION_LIMITS: SessionLimits = {
  heartbeatMs: 500,
  silentAfterMs: 2_000,
  openMs: 1_000,
  reconnectMs: 100,
  reconnectMaximumMs: 3_000,
  doubtMs: 8_000,
  resumeMs: 20_000,
  closeAgainMs: 1_000,
  placements: 6,
  resumes: 8,
  holdMs: 30_000,
  holdRunBytes: 1_048_576,
  holdTotalBytes: 33_554_432,
  proofMs: 120_000,
  rememberMs: 7_200_000,
  rememberAttempts: 100_000,
};
