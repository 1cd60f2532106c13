/** What the end of an attempt says, without I/O. */
import type { RunnerVerdict } from "./runner.js";
import type { AttemptEnd, EndMark, UnsentCause } from "./types.js";

/** Status with which a runner answers a request that names another runner. */
export const HTTP_MISDIRECTED_REQUEST = 421;

/** Whether a byte of the request may have reached the runner. */
export function wasSent(end: AttemptEnd): boolean {
  if (end.kind === "given-up") return end.wasSent;
  return end.kind !== "unsent";
}

/** What the end of an attempt says about its runner. */
export function verdictOf(end: AttemptEnd): RunnerVerdict {
  switch (end.kind) {
    case "streamed":
      return "served";
    case "answered":
      return end.answer.status < 500 ? "served" : "server-error";
    case "not-run":
      if (end.status === HTTP_MISDIRECTED_REQUEST) return "replaced";
      return end.asksForRest ? "resting" : "full";
    case "unsent":
      return verdictOfUnsent(end.cause);
    case "broken":
      return end.isLost ? "lost" : "failed";
    case "given-up":
      return end.reason === "stalled" ? "lost" : "none";
  }
}

function verdictOfUnsent(cause: UnsentCause): RunnerVerdict {
  switch (cause) {
    case "refused":
      return "unreachable";
    case "unconnected":
      // An entry that is busy opens connections too late, whatever the runner.
      return "lost";
    case "withheld":
      return "none";
  }
}

/** Whether the request was kept from a runner that may get none any more. */
export function wasWithheld(end: AttemptEnd): boolean {
  return end.kind === "unsent" && end.cause === "withheld";
}

/** End mark of the response that is forwarded. */
export function endMarkOf(end: AttemptEnd): EndMark {
  if (end.kind === "answered") return end.answer.endMark;
  return end.kind === "streamed" ? end.endMark : "connection";
}

/** Reason of the end for the log. */
export function reasonOf(end: AttemptEnd): string {
  switch (end.kind) {
    case "unsent":
    case "broken":
    case "given-up":
      return end.reason;
    case "not-run":
      return String(end.status);
    case "answered":
      return String(end.answer.status);
    case "streamed":
      return "";
  }
}
