/** Effects, options and status types of the agent's side of sessions. */
import type { ErrorNumber } from "../shared/errors.js";
import type { Emit } from "../shared/events.js";
import type { SessionLimits } from "./limits.js";
import type { AgentFrame, Call, Safeguard } from "./types.js";

/** An action that the daemon has to carry out for the state machine. */
export type AgentEffect =
  | {
      readonly kind: "send";
      readonly connection: number;
      readonly frame: AgentFrame;
    }
  | { readonly kind: "disconnect"; readonly connection: number }
  /** Start the work at the engine under the run's ID. */
  | {
      readonly kind: "start-run";
      readonly run: string;
      readonly stream: number;
      readonly call: Call;
      readonly deadlineMs: number;
    }
  /**
   * Ask the engine to resend the run's answer from its first piece. Data that
   * still arrives on an older stream is dropped.
   */
  | {
      readonly kind: "resume-run";
      readonly run: string;
      readonly stream: number;
      readonly call: Call;
      readonly deadlineMs: number;
    }
  | { readonly kind: "cancel-run"; readonly run: string }
  /** A leaving agent has drained; `cutRuns` runs are still unfinished. */
  | { readonly kind: "drained"; readonly cutRuns: number };

export interface StartRefusal {
  readonly error: ErrorNumber;
  readonly retryAfterMs: number;
}

export interface AgentGateOptions {
  readonly runner: string;
  readonly group: string;
  readonly incarnation: string;
  /** The engine can resend a run's answer by the run's ID. */
  readonly engineResumes: boolean;
  /** The agent's own admission limit; undefined admits the work. */
  readonly mayStart: (call: Call) => StartRefusal | undefined;
  readonly perform: (effect: AgentEffect) => void;
  readonly emit: Emit;
  readonly limits?: SessionLimits;
  /** Safeguard to disable; for tests only. */
  readonly without?: Safeguard;
}

/**
 * State of an attempt of work that may run at most once, as reported to
 * another entry. "gone": it ran, but its answer is no longer buffered. "lost":
 * it was sent to an older incarnation, whose state is unknown.
 */
export type AttemptState =
  "running" | "ended" | "gone" | "lost" | "withdrawn" | "unknown";

export interface AgentStatus {
  readonly incarnation: string;
  readonly leaving: boolean;
  readonly sessions: number;
  readonly running: number;
  readonly held: number;
  readonly heldBytes: number;
  readonly withdrawn: number;
  readonly dispatches: DispatchCounts;
}

/** Invariant: received = started + attached + refused + dropped. */
export interface DispatchCounts {
  readonly received: number;
  readonly started: number;
  readonly attached: number;
  readonly refused: number;
  readonly dropped: number;
}
