/**
 * What follows on the end of an attempt. A request that may not be repeated is
 * sent a second time only when the runner itself says that it has not run, or
 * when it never left this process.
 */
import type { ErrorNumber } from "../internal.js";
import type { Route } from "../routing/types.js";
import type { AttemptEnd } from "./types.js";

/**
 * Time that a further attempt needs at least, ms: a round trip between data
 * centres and the shortest piece of work. With less it only takes a runner's
 * place for an answer that nobody waits for.
 */
export const LEAST_TIME_LEFT_MS = 30;

export interface AttemptHistory {
  readonly route: Pick<Route, "kind" | "isResumable" | "maximumAttempts">;
  /** Attempts that reached a runner, the ended one included. */
  readonly sent: number;
  /** Attempts that didn't: no connection. */
  readonly unsent: number;
  readonly leftMs: number;
  /** Whether events of the stream have reached the caller. */
  readonly hasStarted: boolean;
  /** Whether a runner may have run it, in this attempt or an earlier one. */
  readonly mayHaveRun: boolean;
  /** Takes one repeat out of the allowance. */
  readonly mayRepeat: () => boolean;
}

export type NextStep =
  | { readonly kind: "deliver" }
  | { readonly kind: "repeat" }
  | { readonly kind: "fail"; readonly error: ErrorNumber }
  /** The answer has begun: all that is left is to end it visibly broken. */
  | { readonly kind: "break-off" };

/** Failed connections that one request survives. */
const MOST_UNSENT = 3;
const FIRST_SERVER_ERROR = 500;

export function nextStep(end: AttemptEnd, history: AttemptHistory): NextStep {
  switch (end.kind) {
    case "streamed":
      return { kind: "deliver" };
    case "answered":
      return afterAnswer(end.answer.status, history);
    case "not-run":
    case "unsent":
      return repeatOr(history);
    case "broken":
      return mayRunAgain(history) ? repeatOr(history) : failOrBreak(history);
    case "given-up":
      // Decided, and paid for, before it was given up.
      if (end.reason === "slow") return { kind: "repeat" };
      return end.reason === "stalled" && mayRunAgain(history)
        ? repeatOr(history, 1212)
        : failOrBreak(history, 1212);
  }
}

/**
 * Whether a running attempt may be given up so that another runner goes on.
 * `history` doesn't count it yet. Takes the repeat out of the allowance.
 */
export function mayMove(history: AttemptHistory): boolean {
  if (!mayRunAgain(history)) return false;
  return canRepeat({ ...history, sent: history.sent + 1 });
}

/**
 * Another runner may do better where the request may run again; otherwise the
 * runner's own failure is the answer. Behind events that the caller has already
 * there is no place for one.
 */
function afterAnswer(status: number, history: AttemptHistory): NextStep {
  const isFailure = status >= FIRST_SERVER_ERROR;
  if (isFailure && mayRunAgain(history) && canRepeat(history)) {
    return { kind: "repeat" };
  }
  return { kind: history.hasStarted ? "break-off" : "deliver" };
}

function mayRunAgain({ route }: AttemptHistory): boolean {
  return route.kind === "idempotent" || route.isResumable;
}

function repeatOr(history: AttemptHistory, whenRun?: ErrorNumber): NextStep {
  return canRepeat(history)
    ? { kind: "repeat" }
    : failOrBreak(history, whenRun);
}

function canRepeat(history: AttemptHistory): boolean {
  const { route, sent, unsent, leftMs, mayRepeat } = history;
  if (sent >= route.maximumAttempts || unsent > MOST_UNSENT) return false;
  return leftMs >= LEAST_TIME_LEFT_MS && mayRepeat();
}

/** "Not run" is said only when no runner may have run it. */
function failOrBreak(
  { hasStarted, mayHaveRun }: AttemptHistory,
  whenRun: ErrorNumber = 1211,
): NextStep {
  if (hasStarted) return { kind: "break-off" };
  return { kind: "fail", error: mayHaveRun ? whenRun : 1214 };
}
