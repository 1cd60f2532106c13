/** One request at its entry, and what can truthfully be said about it. */
import type { Call, FinalOutcome } from "./types.js";
import type { EntryLink } from "./entry-link.js";
import type { Evidence } from "./entry-types.js";

export interface RequestState {
  readonly call: Call;
  readonly acceptedAt: number;
  readonly deadlineAt: number;
  /**
   * placing: waits for a runner. dispatched: an attempt is out on a session.
   * doubt: that session was lost. resuming: waits for a session to the same
   * runner.
   */
  phase: "placing" | "dispatched" | "doubt" | "resuming" | "final";
  /** Current attempt; empty before the first. */
  attempt: string;
  /** Attempt that started the run that is followed; empty when none is. */
  run: string;
  link: EntryLink | undefined;
  /** Holder of the outstanding attempt, by sequence. */
  holder: Map<number, RequestState> | undefined;
  sequence: number;
  /** About the run that is followed. */
  evidence: Evidence;
  /** About runs given up before it. */
  earlier: Evidence;
  nextIndex: number;
  /** CRC-32 over the pieces taken. */
  checksum: number;
  headTaken: boolean;
  /** The answer is a stream that only its own closing event ends. */
  isClosedByEvent: boolean;
  placements: number;
  resumes: number;
  /** A request without session gives up at this time. */
  giveUpAt: number;
}

export function createRequest(
  call: Call,
  deadlineAt: number,
  now: number,
): RequestState {
  return {
    call,
    acceptedAt: now,
    deadlineAt,
    phase: "placing",
    attempt: "",
    run: "",
    link: undefined,
    holder: undefined,
    sequence: 0,
    evidence: "none",
    earlier: evidenceBefore(call),
    nextIndex: 0,
    checksum: 0,
    headTaken: false,
    isClosedByEvent: false,
    placements: 0,
    resumes: 0,
    giveUpAt: Number.POSITIVE_INFINITY,
  };
}

/** A caller may have sent its key to another entry, which may have started it. */
function evidenceBefore({ repeatable, idempotencyKey }: Call): Evidence {
  return repeatable || idempotencyKey === "" ? "none" : "maybe";
}

export function strongerEvidence(a: Evidence, b: Evidence): Evidence {
  if (a === "started" || b === "started") return "started";
  return a === "maybe" || b === "maybe" ? "maybe" : "none";
}

/**
 * The only place that turns knowledge into an outcome. "not-run" needs proof
 * for every attempt the request ever had: an attempt that was sent counts as
 * "maybe" until the agent has refused it or closed its session without it.
 */
export function truthfulOutcome(
  request: RequestState,
): Exclude<FinalOutcome, "answered" | "unmarked"> {
  switch (strongerEvidence(request.evidence, request.earlier)) {
    case "none":
      return "not-run";
    case "maybe":
      return "unknown";
    case "started":
      return "broken-off";
  }
}

/** Has the caller seen part of an answer that can't be taken back? */
export function isDelivered(request: RequestState): boolean {
  if (!request.call.streamed) return false;
  return request.headTaken || request.nextIndex > 0;
}

/** Removes the attempt from the session that holds it. */
export function release(request: RequestState): void {
  request.holder?.delete(request.sequence);
  request.holder = undefined;
}

/** Stops following the current run; what is known of it stays known. */
export function leaveRun(request: RequestState): void {
  request.earlier = strongerEvidence(request.earlier, request.evidence);
  request.evidence = "none";
  request.run = "";
  request.nextIndex = 0;
  request.checksum = 0;
  request.headTaken = false;
  request.isClosedByEvent = false;
}
