/**
 * A caller's authenticated and parsed request, and the writer of its answer.
 */
import type { ApricotdeckError, Profile } from "../../internal.js";
import type { Header } from "../../wire/generated/session.js";

export interface CallerRequest {
  readonly id: string;
  readonly account: string;
  readonly profile: Profile;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** The caller asked for server-sent events. */
  readonly streamed: boolean;
  /** Empty for plain services. */
  readonly model: string;
  /** Prompt text, whose prefixes engines cache; empty for plain services. */
  readonly prompt: string;
  /** Upper estimate in tokens: prompt plus longest output. */
  readonly costTokens: number;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
}

/** Receives the answer to one request and writes it to the caller. */
export interface AnswerWriter {
  /** `isEndMarked`: the answer's framing may tell the caller where it ends. */
  readonly head: (
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ) => void;
  readonly piece: (data: Buffer) => void;
  /** Drops the answer received so far, since another attempt starts over. */
  readonly discard: () => void;
  /** Ends the answer; without a confirmed end it may be truncated. */
  readonly end: (isEndConfirmed: boolean) => void;
  /** Ends the request with an error, sent immediately. */
  readonly fail: (error: ApricotdeckError, retryAfterMs?: number) => void;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}
