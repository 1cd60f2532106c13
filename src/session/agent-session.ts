/** State of one session at its agent. */
import type { SessionId } from "./types.js";

export interface AgentSession {
  readonly id: SessionId;
  readonly connection: number;
  /** False once closed: nothing is started in it from then on. */
  isLive: boolean;
  closedAt: number;
  lastReceivedAt: number;
  lastSentAt: number;
  lastSequence: number;
  /** The entry knows that the agent is leaving and sends no new work. */
  leavingSeen: boolean;
  /** The entry has requested the close and has been sent the reply. */
  isCloseConfirmed: boolean;
  /**
   * Started attempts by ascending sequence, until the entry has settled them.
   * The reply to a close lists them. Stored apart from the runs, whose answers
   * are dropped when memory is short.
   */
  readonly started: Map<number, string>;
}

export function createAgentSession(
  id: SessionId,
  connection: number,
  now: number,
): AgentSession {
  return {
    id,
    connection,
    isLive: true,
    closedAt: Number.POSITIVE_INFINITY,
    lastReceivedAt: now,
    lastSentAt: now,
    lastSequence: 0,
    leavingSeen: false,
    isCloseConfirmed: false,
    started: new Map(),
  };
}

export function sessionKey(entryIncarnation: string, number: number): string {
  return `${entryIncarnation}/${number}`;
}

/**
 * Removes and returns the attempts that the entry has settled. Also raises
 * `lastSequence`, so that a late dispatch below `settledBelow` never starts.
 */
export function forgetSettled(
  session: AgentSession,
  settledBelow: number,
): string[] {
  session.lastSequence = Math.max(session.lastSequence, settledBelow - 1);
  const settled: string[] = [];
  for (const [sequence, attempt] of session.started) {
    if (sequence >= settledBelow) break;
    session.started.delete(sequence);
    settled.push(attempt);
  }
  return settled;
}
