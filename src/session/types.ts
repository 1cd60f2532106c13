/**
 * Messages between an entry and an agent, and types that both sides share.
 * The daemons convert the messages to and from the wire format; this module
 * is independent of any transport.
 */
import type { ErrorNumber } from "../shared/errors.js";

/** Identifies a session; `number` rises with each connection of the pair. */
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

/** A caller's request as it is sent to the agent. */
export interface Call {
  readonly request: string;
  readonly account: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly streamed: boolean;
  /** False for work that may run at most once (not idempotent). */
  readonly repeatable: boolean;
  readonly priority: number;
  /** Expected work in tokens (prompt and output). */
  readonly costTokens: number;
  readonly idempotencyKey: string;
  readonly model: string;
}

export interface DispatchFrame {
  readonly kind: "dispatch";
  /** Strictly increasing within the session; detects duplicates. */
  readonly sequence: number;
  readonly attempt: string;
  readonly call: Call;
  /** Time left for the whole answer when the frame was sent. */
  readonly deadlineMs: number;
  /** Index of the first piece to send. */
  readonly fromIndex: number;
  /** Attempt that started the run to resume; empty for new work. */
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
      /** Every dispatch below this sequence is settled at the entry. */
      readonly settledBelow: number;
      /** The entry knows that the agent is leaving and sends no new work. */
      readonly leavingSeen: boolean;
    };

export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly freeBlocks: number;
  readonly totalBlocks: number;
  /** Age of the values when the frame was sent. */
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
      /** The backend server marks the end of this answer explicitly. */
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
      /** Number of pieces in the whole answer. */
      readonly count: number;
      /**
       * CRC-32 over the data of all pieces in order, as the agent read them.
       * It detects loss between agent and entry, not what the agent never got.
       */
      readonly checksum: number;
      /**
       * The backend server marked this as the end. False when its connection
       * was only closed: the answer may be complete or truncated by a crash.
       */
      readonly isEndMarked: boolean;
    }
  | {
      /** The attempt hasn't started and never will. */
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

/** Frames that belong to one attempt. */
export type AttemptFrame = Extract<AgentFrame, { readonly attempt: string }>;

export interface AttemptProgress {
  readonly attempt: string;
  readonly pieces: number;
  readonly ended: boolean;
}

/** An agent's reply to the close of a session. */
export interface CloseReply {
  /** False if the agent doesn't know the session and so proves nothing. */
  readonly closed: boolean;
  readonly agentIncarnation: string;
  readonly started: readonly AttemptProgress[];
}

/**
 * "unmarked": the answer was forwarded until the backend server closed its
 * connection without an end mark, so it may be truncated.
 */
export type FinalOutcome =
  "answered" | "unmarked" | "not-run" | "unknown" | "broken-off";

/** Outcomes of a request whose answer was forwarded to its end. */
export function isAnswer(
  outcome: FinalOutcome,
): outcome is "answered" | "unmarked" {
  return outcome === "answered" || outcome === "unmarked";
}

/** Why a frame was dropped. */
export type DropReason =
  | "connection-gone"
  | "session-not-live"
  | "attempt-unknown"
  | "piece-doubled"
  | "piece-early"
  | "dispatch-doubled";

/**
 * Safeguards that a test can disable, to show that the fuzz targets detect
 * their absence. No setting can disable them.
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
