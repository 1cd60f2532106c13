/**
 * Types of the direct path, on which an entry forwards requests to runners over
 * HTTP.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { RunnerStatement } from "../membership/runner-statement.js";
import type { Route } from "../routing/types.js";
import type { EndMark } from "../shared/answer-end.js";

export type { EndMark };

/** Header names and values in the order in which they are sent. */
export type HeaderPairs = readonly (readonly [name: string, value: string])[];

/** Fields that the platform's headers carry on a caller's request. */
export interface CallFields {
  /** The caller uses a new id for each of its attempts. */
  readonly attemptId: string | undefined;
  /** Time that the caller waits for the response, ms. */
  readonly deadlineMs: number | undefined;
  readonly credential: string | undefined;
  readonly promptTokens: number;
  /** Maximum number of tokens of the response. */
  readonly outputTokens: number;
  /** Name of the model. */
  readonly model: string | undefined;
  /**
   * Ids of the prompt's parts in order. Requests share parts, except for the
   * last one, which belongs to the request or to its session.
   */
  readonly promptParts: readonly string[];
  /**
   * Id of the last event of the stream that the caller has received; 0 for
   * none.
   */
  readonly lastEventId: number;
}

/** Fields that the platform's headers carry on a runner's response. */
export interface ResponseFields {
  /** Id of the attempt that the response belongs to. */
  readonly attemptId: string | undefined;
  /** The runner states that it hasn't run the request and never will. */
  readonly isNotRun: boolean;
  readonly signature: string | undefined;
  /** Id of the runner that a refusal names as its cause. */
  readonly faultyRunner: string | undefined;
  /** Limit that the runner names for all entries together, requests/s. */
  readonly requestsPerSecond: number | undefined;
  /** Time for which the runner says that it stays cold, ms; 0 when warm. */
  readonly coldMs: number | undefined;
  readonly statement: RunnerStatement;
}

/** Fields that an entry sets on a request to a runner. */
export interface ForwardFields {
  /** Id of the only runner that may run it. */
  readonly runner: string;
  readonly account: string | undefined;
  /** 0 is the highest. */
  readonly priority: number;
  readonly remainingMs: number;
  /** Id of the event after which an interrupted stream resumes. */
  readonly resumeAfterEventId: number | undefined;
}

/** Translates headers; implemented by the platform's adapter. */
export interface HeaderCodec {
  readonly readCall: (headers: IncomingHttpHeaders) => CallFields;
  readonly readAnswer: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => ResponseFields;
  /**
   * Builds the headers of a request to a runner from the caller's end-to-end
   * headers, without the caller's own values of platform headers.
   */
  readonly forward: (
    headers: HeaderPairs,
    fields: ForwardFields,
  ) => HeaderPairs;
}

/** A caller's request, completely read and permitted by the configuration. */
export interface DirectCall {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly headers: HeaderPairs;
  readonly body: Buffer;
  readonly fields: CallFields;
  readonly route: Route;
  /**
   * Version of the configuration from which route, account and service were
   * resolved.
   */
  readonly version: number;
  readonly service: string;
  readonly account: string | undefined;
  readonly priority: number;
  /** Monotonic time of arrival, ms. */
  readonly arrivedAtMs: number;
  /** Monotonic deadline of the response, ms. */
  readonly deadlineAtMs: number;
}

/** A runner's response, complete as far as its end was marked. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly endMark: EndMark;
}

/**
 * Why a request wasn't sent: nothing listens at the address, as while the
 * runner starts again; there was no connection otherwise; or the runner may get
 * no requests any more.
 */
export type UnsentCause = "refused" | "unconnected" | "withheld";

/** How one attempt at one runner ended. */
export type AttemptEnd =
  | { readonly kind: "answered"; readonly answer: CompleteResponse }
  /** A stream has ended and was forwarded completely. */
  | { readonly kind: "streamed"; readonly endMark: EndMark }
  /** The runner states that it hasn't run the request. */
  | {
      readonly kind: "not-run";
      readonly status: number;
      /** Whether it wants no requests for a time. */
      readonly asksForRest: boolean;
      /** Id of another runner of the group that caused the refusal. */
      readonly faultyRunner: string | undefined;
    }
  /**
   * The request never left this process.
   */
  | {
      readonly kind: "unsent";
      readonly reason: string;
      readonly cause: UnsentCause;
    }
  /**
   * The request was sent, but no complete response to it arrived. `isLost`:
   * the connection was lost, as when the runner crashes.
   */
  | {
      readonly kind: "broken";
      readonly reason: string;
      readonly isLost: boolean;
    }
  /**
   * Aborted by this process: the caller has disconnected, the deadline has
   * passed, or the stream has stalled or moves to a faster runner.
   */
  | {
      readonly kind: "given-up";
      readonly wasSent: boolean;
      readonly reason: GiveUpReason;
    };

/** `slow`: the stream continues at a runner that isn't slow. */
export type GiveUpReason = "caller-gone" | "overdue" | "stalled" | "slow";
