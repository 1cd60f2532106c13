/** A caller's request after it was read, authenticated and resolved. */
import type { ApricotdeckError, Profile } from "../../internal.js";
import type { Header } from "../../wire/generated/session.js";

export interface Work {
  readonly id: string;
  readonly account: string;
  readonly profile: Profile;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** The caller wants server-sent events. */
  readonly streamed: boolean;
  /** Empty for plain services. */
  readonly model: string;
  /** Text whose prefixes the engines cache; empty for plain services. */
  readonly prompt: string;
  /** Expected work in tokens: prompt and longest output. */
  readonly costTokens: number;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
}

/** Takes the answer of one request towards its caller. */
export interface AnswerWriter {
  /** `isEndMarked`: the caller may be promised a mark of the answer's end. */
  readonly head: (
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ) => void;
  readonly piece: (data: Buffer) => void;
  /** Forgets what it has so far: the answer begins anew. */
  readonly discard: () => void;
  /** The answer has ended; if not vouched for, it may be a part of a whole. */
  readonly end: (isVouched: boolean) => void;
  /** The final answer is a failure; goes out at once. */
  readonly fail: (error: ApricotdeckError, retryAfterMs?: number) => void;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
}
