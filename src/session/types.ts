/**
 * Messages between an entry and an agent, and what both keep in common. The
 * daemons convert them to and from the wire; nothing here knows a socket.
 */
import type { ErrorNumber } from "../shared/errors.js";

/** One session: its number rises with every connection of the pair. */
export interface SessionId {
  readonly entry: string;
  /** New for every start of the entry. */
  readonly entryIncarnation: string;
  /** New for every start of the agent. */
  readonly agentIncarnation: string;
  readonly number: number;
}

export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A caller's request as it travels to the agent. */
export interface Call {
  readonly request: string;
  readonly account: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly streamed: boolean;
  /** False for work that may run at most once. */
  readonly repeatable: boolean;
  readonly priority: number;
  /** Expected work in tokens (prompt and output). */
  readonly costTokens: number;
  readonly idempotencyKey: string;
  readonly model: string;
}

export interface DispatchFrame {
  readonly kind: "dispatch";
  /** Rises with every dispatch of the session. */
  readonly sequence: number;
  readonly attempt: string;
  readonly call: Call;
  /** Time left for the whole answer when the frame was sent. */
  readonly deadlineMs: number;
  /** First piece wanted. */
  readonly fromIndex: number;
  /** Attempt that started the run to go on with; empty for new work. */
  readonly resumeOf: string;
}

export type EntryFrame =
  | {
      readonly kind: "open";
      readonly entry: string;
      readonly entryIncarnation: string;
      readonly number: number;
      readonly dataCentre: string;
      readonly release: string;
    }
  | DispatchFrame
  | { readonly kind: "cancel"; readonly attempt: string }
  | {
      readonly kind: "heartbeat";
      /** The entry needs no proof about dispatches below this sequence. */
      readonly settledBelow: number;
      /** No new work follows on this session: the agent's leaving is known. */
      readonly leavingSeen: boolean;
    };

export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly freeBlocks: number;
  readonly totalBlocks: number;
  /** Age of the figures when the frame was sent. */
  readonly ageMs: number;
  readonly stepMs: number;
}

export type AgentFrame =
  | {
      readonly kind: "opened";
      readonly session: SessionId;
      readonly runner: string;
      readonly group: string;
    }
  | { readonly kind: "started"; readonly attempt: string }
  | {
      readonly kind: "head";
      readonly attempt: string;
      readonly status: number;
      readonly headers: readonly Header[];
      /** The backend server marks where this answer ends. */
      readonly isEndMarked: boolean;
    }
  | {
      readonly kind: "piece";
      readonly attempt: string;
      readonly index: number;
      readonly data: Uint8Array;
    }
  | {
      readonly kind: "end";
      readonly attempt: string;
      /** Pieces of the whole answer. */
      readonly count: number;
      /**
       * CRC-32 over the data of all pieces in order, as the agent read them:
       * nothing was lost since. What the agent never got isn't in it.
       */
      readonly checksum: number;
      /**
       * The backend server marked this as the end. False when its connection
       * merely ended: the answer is whole, or its process ended inside it.
       */
      readonly isVouched: boolean;
    }
  | {
      /** This attempt never started and never will. */
      readonly kind: "refused";
      readonly attempt: string;
      readonly error: ErrorNumber;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: "broken";
      readonly attempt: string;
      readonly error: ErrorNumber;
    }
  | { readonly kind: "heartbeat" }
  | { readonly kind: "load"; readonly report: LoadReport }
  | { readonly kind: "leaving"; readonly graceMs: number };

/** Frames that answer one attempt. */
export type AttemptFrame = Extract<AgentFrame, { readonly attempt: string }>;

export interface AttemptProgress {
  readonly attempt: string;
  readonly pieces: number;
  readonly ended: boolean;
}

/** What an agent answers to the close of a session. */
export interface CloseReply {
  /** False when this agent can prove nothing about the session. */
  readonly closed: boolean;
  readonly agentIncarnation: string;
  readonly started: readonly AttemptProgress[];
}

/**
 * "unmarked": an answer was passed on up to the end of the backend server's
 * connection, and nobody can tell whether it is whole.
 */
export type FinalOutcome =
  "answered" | "unmarked" | "not-run" | "unknown" | "broken-off";

/** Outcomes of a request whose answer was passed on to its end. */
export function isAnswer(
  outcome: FinalOutcome,
): outcome is "answered" | "unmarked" {
  return outcome === "answered" || outcome === "unmarked";
}

/** Why a frame was not taken. */
export type DropReason =
  | "connection-gone"
  | "session-not-live"
  | "attempt-unknown"
  | "piece-doubled"
  | "piece-early"
  | "dispatch-doubled";

/**
 * Safeguards that a test can switch off, to show that the fuzz targets notice
 * their absence. No setting leads here.
 */
export type Safeguard =
  | "tombstone"
  | "piece-index"
  | "checksum"
  | "agent-incarnation"
  | "unanswered-close"
  | "refuse-leaving"
  | "resume-index"
  | "dispatch-once"
  | "started-marks"
  | "remember-starts"
  | "leaving-seen"
  | "end-mark";
