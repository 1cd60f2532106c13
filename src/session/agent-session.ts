/** One session at its agent. */
import type { SessionId } from "./types.js";

export interface AgentSession {
  readonly id: SessionId;
  readonly connection: number;
  /** False once closed: nothing more is ever started in it. */
  isLive: boolean;
  closedAt: number;
  heardAt: number;
  sentAt: number;
  lastSequence: number;
  /** The entry dispatches nothing new to this leaving agent any more. */
  leavingSeen: boolean;
  /** The entry has closed it and has its proof. */
  isProved: boolean;
  /**
   * Attempts that were started, by sequence in rising order, until the entry
   * has settled them: the proof that a close gives. Kept apart from the runs,
   * whose answers are dropped when memory is short.
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
    heardAt: now,
    sentAt: now,
    lastSequence: 0,
    leavingSeen: false,
    isProved: false,
    started: new Map(),
  };
}

export function sessionKey(entryIncarnation: string, number: number): string {
  return `${entryIncarnation}/${number}`;
}

/**
 * Forgets attempts that the entry has settled and returns them. A dispatch
 * below the mark that still arrives is late and must not start either.
 */
export function settle(session: AgentSession, settledBelow: number): string[] {
  session.lastSequence = Math.max(session.lastSequence, settledBelow - 1);
  const settled: string[] = [];
  for (const [sequence, attempt] of session.started) {
    if (sequence >= settledBelow) break;
    session.started.delete(sequence);
    settled.push(attempt);
  }
  return settled;
}
