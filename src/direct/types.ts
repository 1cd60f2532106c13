/** Types of the direct path: from the caller over one entry to a runner. */
import type { IncomingHttpHeaders } from "node:http";
import type { Route } from "../routing/types.js";
import type { EndMark } from "../shared/answer-end.js";

export type { EndMark };

/** Header names and values, in the order in which they are sent. */
export type HeaderPairs = readonly (readonly [name: string, value: string])[];

/** What the platform's headers say of a caller's request. */
export interface CallFields {
  /** New for every attempt of the caller. */
  readonly attemptId: string | undefined;
  /** How long the caller waits, ms. */
  readonly deadlineMs: number | undefined;
  readonly credential: string | undefined;
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly outputTokens: number;
  /** Last event of the stream that the caller has; 0 for none. */
  readonly lastEventId: number;
}

/** What the platform's headers say of a runner's answer. */
export interface AnswerFields {
  /** The attempt that the answer belongs to. */
  readonly attemptId: string | undefined;
  /** The runner states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  readonly signature: string | undefined;
  /** Id of the runner that a refusal names for its cause. */
  readonly faultyRunner: string | undefined;
}

/** What an entry sets on a request that goes to a runner. */
export interface ForwardFields {
  /** Id of the only runner that may run it. */
  readonly runner: string;
  readonly account: string | undefined;
  readonly leftMs: number;
  /** Event after which a broken stream goes on. */
  readonly resumeAfter: number | undefined;
}

/** Translation of headers; the adapter of a platform provides it. */
export interface HeaderCodec {
  readonly readCall: (headers: IncomingHttpHeaders) => CallFields;
  readonly readAnswer: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => AnswerFields;
  /** Takes the caller's end-to-end headers; none of ours pass through. */
  readonly forward: (
    headers: HeaderPairs,
    fields: ForwardFields,
  ) => HeaderPairs;
}

/** A caller's request, read whole and allowed by the configuration. */
export interface Call {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly headers: HeaderPairs;
  readonly body: Buffer;
  readonly fields: CallFields;
  readonly route: Route;
  /** Of the configuration that decided route, account and service. */
  readonly version: number;
  readonly service: string;
  readonly account: string | undefined;
  readonly priority: number;
  /** Monotonic time of arrival, ms. */
  readonly arrivedAtMs: number;
  /** Monotonic time at which the final answer is due, ms. */
  readonly dueAtMs: number;
}

/** A whole answer of a runner, as far as its end was marked. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly endMark: EndMark;
}

/** How one attempt at one runner ended. */
export type AttemptEnd =
  | { readonly kind: "answered"; readonly answer: WholeAnswer }
  /** A stream came to its end and was passed on whole. */
  | { readonly kind: "streamed"; readonly endMark: EndMark }
  /** The runner says that it has not run the request. */
  | {
      readonly kind: "not-run";
      readonly status: number;
      /** Id of another runner of the group, whose fault it is. */
      readonly faultyRunner: string | undefined;
    }
  /** No connection: the request never left this process. */
  | { readonly kind: "unsent"; readonly reason: string }
  /**
   * Sent, and no whole answer of its own came back. `isLost`: the connection
   * ended, as it does when the runner crashes.
   */
  | {
      readonly kind: "broken";
      readonly reason: string;
      readonly isLost: boolean;
    }
  /** Given up by this process: caller gone, time over, or stream stalled. */
  | {
      readonly kind: "given-up";
      readonly wasSent: boolean;
      readonly reason: GiveUpReason;
    };

/** `slow`: the stream goes on at a runner that isn't. */
export type GiveUpReason = "caller-gone" | "overdue" | "stalled" | "slow";
