/** Times and sizes of sessions. All times in milliseconds. */

export interface SessionLimits {
  /**
   * Rhythm of an entry's heartbeats, and the time without any frame after
   * which an agent sends one.
   */
  readonly heartbeatMs: number;
  /** A side that heard nothing for this long takes the session for lost. */
  readonly silentAfterMs: number;
  /** Longest wait for the agent's answer to the opening of a session. */
  readonly openMs: number;
  /** First and longest pause before the next connection. */
  readonly reconnectMs: number;
  readonly reconnectMaximumMs: number;
  /** Longest wait for the proof that the close of a lost session gives. */
  readonly doubtMs: number;
  /** Longest wait for a session on which a started answer can go on. */
  readonly resumeMs: number;
  /** Pause before an unanswered close is sent again. */
  readonly closeAgainMs: number;
  /** Most dispatches of one request; each refusal of an agent costs one. */
  readonly placements: number;
  /** Most resumptions of one request. */
  readonly resumes: number;
  /** How long an agent holds an answer that nobody reads. */
  readonly holdMs: number;
  /** Most bytes that an agent holds of one answer, and of all. */
  readonly holdRunBytes: number;
  readonly holdTotalBytes: number;
  /** How long an agent can still prove a session that has ended. */
  readonly proofMs: number;
  /**
   * How long, and of how many attempts each, an agent remembers that it
   * withdrew them or started them as work that may run at most once. Longer
   * than the longest deadline, after which no entry dispatches any more.
   */
  readonly rememberMs: number;
  readonly rememberAttempts: number;
}

/**
 * Load: a few entries before a dozen runners, up to thousands of streams.
 * Silence shorter than two seconds is met daily (collector pauses, busy VMs);
 * taking it for loss would resume every stream of the pair. The doubt limit
 * leaves room for three closes. A started answer waits longer, because nothing
 * but the same run can complete it: time for an agent to restart, and for a
 * second connection that falls silent. An agent proves a session for far longer
 * than any entry asks.
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
