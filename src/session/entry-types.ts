/** Effects, options and shared types of the entry's side of sessions. */
import type { Either } from "purify-ts";
import type { ApricotdeckError, ErrorNumber } from "../shared/errors.js";
import type { Emit } from "../shared/events.js";
import type { Random } from "../shared/random.js";
import type { SessionLimits } from "./limits.js";
import type {
  Call,
  EntryFrame,
  FinalOutcome,
  Header,
  LoadReport,
  Safeguard,
  SessionId,
} from "./types.js";

/** An action that the daemon has to carry out for the state machine. */
export type EntryEffect =
  /** Open a connection for the session with this number. */
  | {
      readonly kind: "connect";
      readonly runner: string;
      readonly number: number;
    }
  | {
      readonly kind: "disconnect";
      readonly runner: string;
      readonly number: number;
    }
  | {
      readonly kind: "send";
      readonly runner: string;
      readonly number: number;
      readonly frame: EntryFrame;
    }
  /** Ask the agent to close a lost session, over a new connection. */
  | {
      readonly kind: "close-session";
      readonly runner: string;
      readonly session: SessionId;
    }
  /** Choose a runner, then call `dispatch` or `refuse`. */
  | {
      readonly kind: "place";
      readonly call: Call;
      /** The previous attempt of the request, if any. */
      readonly previous: PreviousAttempt | undefined;
    }
  | {
      readonly kind: "head";
      readonly request: string;
      readonly status: number;
      readonly headers: readonly Header[];
      /**
       * The answer will have an explicit end mark. Only then may the response
       * headers promise the caller that a complete answer is marked as such.
       */
      readonly isEndMarked: boolean;
    }
  | {
      readonly kind: "piece";
      readonly request: string;
      readonly data: Uint8Array;
    }
  /** Drop the head and pieces so far: the answer restarts. */
  | { readonly kind: "discard"; readonly request: string }
  | {
      readonly kind: "finish";
      readonly request: string;
      readonly outcome: FinalOutcome;
      /** 0 if the outcome is answered or unmarked. */
      readonly error: ErrorNumber | 0;
      readonly retryAfterMs: number;
    }
  /** The entry stopped following a run; its request may continue. */
  | {
      readonly kind: "run-over";
      readonly request: string;
      /** ID of the attempt that started the run. */
      readonly run: string;
      readonly runner: string;
      readonly result: RunResult;
    }
  | {
      readonly kind: "session-live";
      readonly runner: string;
      readonly session: SessionId;
      readonly group: string;
    }
  | { readonly kind: "session-lost"; readonly runner: string }
  | { readonly kind: "agent-leaving"; readonly runner: string }
  | {
      readonly kind: "load";
      readonly runner: string;
      readonly report: LoadReport;
    };

/** "answered" includes answers without an end mark. */
export type RunResult = "answered" | "refused" | "broken" | "lost";

export interface PreviousAttempt {
  readonly attempt: string;
  readonly runner: string;
  /** The attempt never started and never will. */
  readonly isProvenNotRun: boolean;
}

/**
 * Whether work of a request has started: "maybe" after a dispatch that the
 * agent hasn't answered, "started" once the agent has confirmed the start.
 */
export type StartEvidence = "none" | "maybe" | "started";

export interface DispatchOptions {
  /** Attempt ID, if a claim determines it. */
  readonly attempt?: string;
  /** Agent incarnation required by a claim; any other is an error. */
  readonly agentIncarnation?: string;
  /** Attempt of another entry whose run to attach to; no run is started. */
  readonly attachTo?: string;
}

/** Decides whether work that may have started may be started again. */
export type MayRetry = (call: Call) => boolean;

export interface EntrySessionsOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly release: string;
  readonly perform: (effect: EntryEffect) => void;
  readonly mayRetry: MayRetry;
  /** IDs must be unique across all entries and incarnations. */
  readonly createAttemptId: () => string;
  readonly random: Random;
  readonly emit: Emit;
  readonly limits?: SessionLimits;
  /** Safeguard to disable; for tests only. */
  readonly without?: Safeguard;
}

/** The attempt ID, or the reason why nothing was sent. */
export type DispatchResult = Either<ApricotdeckError, string>;
