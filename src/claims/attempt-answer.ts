/** Answers an entry's query about an attempt of a repeated call. */
import type { AttemptState } from "../internal.js";
import type { AttemptAnswer } from "./types.js";

/** An entry's query about one attempt. */
export interface AttemptQuery {
  readonly agentIncarnation: string;
  readonly attempt: string;
  /** Whether an attempt that hasn't started must be prevented from starting. */
  readonly tombstone: boolean;
}

/** The attempt state of the agent's gate. */
export interface AttemptRegistry {
  find(attempt: string, agentIncarnation: string): AttemptState;
  /**
   * Prevents an attempt that hasn't started from starting; false if that can't
   * be guaranteed.
   */
  withdraw(attempt: string, agentIncarnation: string, nowMs: number): boolean;
}

export function answerAttemptQuery(
  registry: AttemptRegistry,
  { attempt, agentIncarnation, tombstone }: AttemptQuery,
  nowMs: number,
): AttemptAnswer {
  switch (registry.find(attempt, agentIncarnation)) {
    case "running":
    case "ended":
      return { kind: "started" };
    case "gone":
      return { kind: "answer-gone" };
    case "lost":
      return { kind: "other-incarnation" };
    case "withdrawn":
      return { kind: "tombstoned" };
    case "unknown":
      if (!tombstone) return { kind: "waiting" };
      return registry.withdraw(attempt, agentIncarnation, nowMs)
        ? { kind: "tombstoned" }
        : { kind: "forgotten" };
  }
}
