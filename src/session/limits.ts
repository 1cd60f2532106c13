/** Timeouts, retry limits and buffer sizes of sessions; times in ms. */

export interface SessionLimits {
  /**
   * Interval of an entry's heartbeats. An agent sends a heartbeat after
   * sending no other frame for this long.
   */
  readonly heartbeatMs: number;
  /** A side that receives nothing for this long ends the session. */
  readonly silenceTimeoutMs: number;
  /** Timeout for the agent's reply to the opening of a session. */
  readonly openTimeoutMs: number;
  /** Initial and maximum backoff between connection attempts. */
  readonly reconnectBackoffMs: number;
  readonly reconnectBackoffMaximumMs: number;
  /** Timeout for the agent to confirm the close of a lost session. */
  readonly closeTimeoutMs: number;
  /** Timeout for a new session on which a started run can be resumed. */
  readonly resumeTimeoutMs: number;
  /** Delay before an unanswered close is retried. */
  readonly closeRetryMs: number;
  /** Maximum dispatches of one request, including refused ones. */
  readonly maximumDispatches: number;
  /** Maximum resumptions of one request. */
  readonly maximumResumptions: number;
  /** How long an agent keeps an answer that no entry reads. */
  readonly answerRetentionMs: number;
  /** Maximum bytes that an agent buffers per answer, and in total. */
  readonly runBufferBytes: number;
  readonly totalBufferBytes: number;
  /** How long an agent keeps the state of a closed session. */
  readonly closedSessionRetentionMs: number;
  /**
   * Retention and maximum number of the attempts that an agent has withdrawn,
   * and likewise of those that it has started as work that may run at most
   * once. The retention exceeds the longest deadline, after which no entry
   * dispatches the attempt any more.
   */
  readonly attemptRetentionMs: number;
  readonly maximumRememberedAttempts: number;
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
  silenceTimeoutMs: 2_000,
  openTimeoutMs: 1_000,
  reconnectBackoffMs: 100,
  reconnectBackoffMaximumMs: 3_000,
  closeTimeoutMs: 8_000,
  resumeTimeoutMs: 20_000,
  closeRetryMs: 1_000,
  maximumDispatches: 6,
  maximumResumptions: 8,
  answerRetentionMs: 30_000,
  runBufferBytes: 1_048_576,
  totalBufferBytes: 33_554_432,
  closedSessionRetentionMs: 120_000,
  attemptRetentionMs: 7_200_000,
  maximumRememberedAttempts: 100_000,
};
