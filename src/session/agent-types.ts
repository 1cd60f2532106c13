/** What the agent side takes in, hands out and keeps. */
import type { ErrorNumber } from "../shared/errors.js";
import type { Emit } from "../shared/events.js";
import type { SessionLimits } from "./limits.js";
import type { AgentFrame, Call, Safeguard } from "./types.js";

/** What the daemon has to carry out. */
export type AgentEffect =
  | {
      readonly kind: "send";
      readonly connection: number;
      readonly frame: AgentFrame;
    }
  | { readonly kind: "disconnect"; readonly connection: number }
  /** Start the work at the engine under the name of the run. */
  | {
      readonly kind: "start-run";
      readonly run: string;
      readonly stream: number;
      readonly call: Call;
      readonly deadlineMs: number;
    }
  /**
   * Have the engine send the run's answer again from its first piece; what it
   * still sends on an older stream is dropped.
   */
  | {
      readonly kind: "resume-run";
      readonly run: string;
      readonly stream: number;
      readonly call: Call;
      readonly deadlineMs: number;
    }
  | { readonly kind: "cancel-run"; readonly run: string }
  /** A leaving agent has nothing left to do. */
  | { readonly kind: "drained"; readonly cutRuns: number };

export interface StartRefusal {
  readonly error: ErrorNumber;
  readonly retryAfterMs: number;
}

export interface AgentGateOptions {
  readonly runner: string;
  readonly group: string;
  readonly incarnation: string;
  /** Can the engine send a run's answer again by its name? */
  readonly engineResumes: boolean;
  /** The agent's own limit, the last word on new work. */
  readonly mayStart: (call: Call) => StartRefusal | undefined;
  readonly perform: (effect: AgentEffect) => void;
  readonly emit: Emit;
  readonly limits?: SessionLimits;
  /** Tests only. */
  readonly without?: Safeguard;
}

/**
 * What the agent knows of an attempt of work that may run at most once, when
 * another entry asks. "gone": it ran, and its answer is no longer held. "lost": it was meant for an older
 * incarnation, of which nothing is known.
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
  readonly dispatches: DispatchFigures;
}

/** received = started + attached + refused + dropped */
export interface DispatchFigures {
  readonly received: number;
  readonly started: number;
  readonly attached: number;
  readonly refused: number;
  readonly dropped: number;
}
