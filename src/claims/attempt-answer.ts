/** What an agent's gate lets an entry know that repeats a call. */
import type { AttemptState } from "../internal.js";
import type { AttemptAnswer } from "./types.js";

/** Which attempt an entry asks for. */
export interface AttemptQuestion {
  readonly agentIncarnation: string;
  readonly attempt: string;
  /** Whether an attempt that has not started is to be ruled out. */
  readonly tombstone: boolean;
}

/** The part of the agent's gate that knows attempts. */
export interface AttemptKeeper {
  find(attempt: string, agentIncarnation: string): AttemptState;
  /** Whether the attempt can never start from now on. */
  withdraw(attempt: string, agentIncarnation: string, nowMs: number): boolean;
}

export function answerAboutAttempt(
  keeper: AttemptKeeper,
  { attempt, agentIncarnation, tombstone }: AttemptQuestion,
  nowMs: number,
): AttemptAnswer {
  switch (keeper.find(attempt, agentIncarnation)) {
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
      return keeper.withdraw(attempt, agentIncarnation, nowMs)
        ? { kind: "tombstoned" }
        : { kind: "forgotten" };
  }
}
