/**
 * Decides what to do when an attempt has ended: deliver the response, retry, or
 * fail. A request that isn't repeatable is sent a second time only if the
 * runner states that it hasn't run the request, or if the request never left
 * this process.
 */
import type { ErrorNumber } from "../internal.js";
import type { Route } from "../routing/types.js";
import type { AttemptEnd } from "./types.js";

/**
 * Minimum remaining time for a retry, ms: a round trip between data centres and
 * the shortest run. With less time, a retry only occupies a slot for a response
 * that arrives too late.
 */
export const MINIMUM_RETRY_TIME_MS = 30;

export interface AttemptHistory {
  readonly route: Pick<Route, "kind" | "isResumable" | "maximumAttempts">;
  /** Attempts that were sent to a runner, including the one that has ended. */
  readonly sentAttempts: number;
  /** Attempts that failed to connect. */
  readonly unsentAttempts: number;
  readonly remainingMs: number;
  /** Whether events of the stream have been sent to the caller. */
  readonly hasStreamStarted: boolean;
  /** Whether a runner may have run the request in any attempt. */
  readonly mayHaveRun: boolean;
  /** Takes one retry from the retry budget; false if there is none. */
  readonly tryTakeRetry: () => boolean;
}

export type NextStep =
  | { readonly kind: "deliver" }
  | { readonly kind: "repeat" }
  | { readonly kind: "fail"; readonly error: ErrorNumber }
  /**
   * The response has begun: it can only be aborted in a way that the caller
   * notices.
   */
  | { readonly kind: "break-off" };

/** Failed connection attempts after which a request may still be retried. */
const MAXIMUM_UNSENT_RETRIES = 3;
const FIRST_SERVER_ERROR_STATUS = 500;

export function nextStep(end: AttemptEnd, history: AttemptHistory): NextStep {
  switch (end.kind) {
    case "streamed":
      return { kind: "deliver" };
    case "answered":
      return stepAfterResponse(end.answer.status, history);
    case "not-run":
      return repeatOrFail(history);
    case "unsent":
      // Nothing has been sent, so nothing is repeated.
      return end.cause === "withheld"
        ? repeatOrFail({ ...history, tryTakeRetry: () => true })
        : repeatOrFail(history);
    case "broken":
      return isRepeatable(history)
        ? repeatOrFail(history)
        : failOrBreakOff(history);
    case "given-up":
      // The retry was taken from the budget by `tryMoveStream`.
      return isMoved(end) ? { kind: "repeat" } : failOrBreakOff(history, 1212);
  }
}

/**
 * Returns whether a running attempt may be given up so that another runner
 * continues the stream, and takes the retry from the budget. `history` doesn't
 * include the running attempt.
 */
export function tryMoveStream(history: AttemptHistory): boolean {
  if (!isRepeatable(history)) return false;
  return tryRepeat({ ...history, sentAttempts: history.sentAttempts + 1 });
}

/**
 * A server error is retried at another runner if the request is repeatable;
 * otherwise it is forwarded. Once events have been sent, an error response
 * can't be forwarded.
 */
function stepAfterResponse(status: number, history: AttemptHistory): NextStep {
  const isFailure = status >= FIRST_SERVER_ERROR_STATUS;
  if (isFailure && isRepeatable(history) && tryRepeat(history)) {
    return { kind: "repeat" };
  }
  return { kind: history.hasStreamStarted ? "break-off" : "deliver" };
}

/** Whether an attempt was given up so that another runner continues it. */
export function isMoved(end: AttemptEnd): boolean {
  if (end.kind !== "given-up") return false;
  return end.reason === "slow" || end.reason === "stalled";
}

/** Whether a request that may have run may be sent to another runner. */
export function isRepeatable({
  route,
}: Pick<AttemptHistory, "route">): boolean {
  return route.kind === "idempotent" || route.isResumable;
}

function repeatOrFail(history: AttemptHistory): NextStep {
  return tryRepeat(history) ? { kind: "repeat" } : failOrBreakOff(history);
}

function tryRepeat(history: AttemptHistory): boolean {
  const { route, sentAttempts, unsentAttempts, remainingMs, tryTakeRetry } =
    history;
  if (
    sentAttempts >= route.maximumAttempts ||
    unsentAttempts > MAXIMUM_UNSENT_RETRIES
  )
    return false;
  return remainingMs >= MINIMUM_RETRY_TIME_MS && tryTakeRetry();
}

/** Reports that the request wasn't run only if no runner can have run it. */
function failOrBreakOff(
  { hasStreamStarted, mayHaveRun }: AttemptHistory,
  errorIfRun: ErrorNumber = 1211,
): NextStep {
  if (hasStreamStarted) return { kind: "break-off" };
  return { kind: "fail", error: mayHaveRun ? errorIfRun : 1214 };
}
