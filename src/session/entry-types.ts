/** What the entry side takes in, hands out and keeps. */
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

/** What the daemon has to carry out. */
export type EntryEffect =
  /** Open a connection for the session of this number. */
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
      /** The attempt before it, and whether it is proved never to start. */
      readonly previous: PreviousAttempt | undefined;
    }
  | {
      readonly kind: "head";
      readonly request: string;
      readonly status: number;
      readonly headers: readonly Header[];
      /**
       * The end that follows is one that can be vouched for. What goes out
       * before the end may promise the caller a mark only then.
       */
      readonly isEndMarked: boolean;
    }
  | {
      readonly kind: "piece";
      readonly request: string;
      readonly data: Uint8Array;
    }
  /** Forget head and pieces: the answer begins anew. */
  | { readonly kind: "discard"; readonly request: string }
  | {
      readonly kind: "finish";
      readonly request: string;
      readonly outcome: FinalOutcome;
      /** 0 when answered or unmarked. */
      readonly error: ErrorNumber | 0;
      readonly retryAfterMs: number;
    }
  /** The entry follows a run no longer, whatever became of its request. */
  | {
      readonly kind: "run-over";
      readonly request: string;
      /** Attempt that started the run. */
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

/** "answered" also for an end that the backend server didn't mark. */
export type RunResult = "answered" | "refused" | "broken" | "lost";

export interface PreviousAttempt {
  readonly attempt: string;
  readonly runner: string;
  readonly provedNotRun: boolean;
}

/**
 * What is known about the work of a request. "maybe" after a dispatch without
 * an answer to it, "started" once the agent has said so.
 */
export type Evidence = "none" | "maybe" | "started";

export interface DispatchOptions {
  /** Name of the attempt where a claim has fixed it. */
  readonly attempt?: string;
  /** Incarnation that a claim has fixed; another one is not dispatched to. */
  readonly agentIncarnation?: string;
  /** Attempt of another entry whose run is to be attached to. */
  readonly attachTo?: string;
}

/** May a request whose work may have started be started again? */
export type MayRetry = (call: Call) => boolean;

export interface EntrySessionsOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly release: string;
  readonly perform: (effect: EntryEffect) => void;
  readonly mayRetry: MayRetry;
  /** Unique over all entries and incarnations. */
  readonly createAttemptId: () => string;
  readonly random: Random;
  readonly emit: Emit;
  readonly limits?: SessionLimits;
  /** Tests only. */
  readonly without?: Safeguard;
}

export type Dispatched = Either<ApricotdeckError, string>;
