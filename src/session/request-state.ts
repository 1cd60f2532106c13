/** State of one request at its entry, and the outcome that it supports. */
import type { Call, FinalOutcome } from "./types.js";
import type { EntryLink } from "./entry-link.js";
import type { StartEvidence } from "./entry-types.js";

export interface RequestState {
  readonly call: Call;
  readonly acceptedAt: number;
  readonly deadlineAt: number;
  /**
   * placing: waits for a runner. dispatched: an attempt was sent on a session.
   * doubt: that session was lost and its close isn't confirmed yet. resuming:
   * waits for a session to the same runner.
   */
  phase: "placing" | "dispatched" | "doubt" | "resuming" | "final";
  /** Current attempt; empty before the first. */
  attempt: string;
  /** Attempt that started the current run; empty if there is none. */
  run: string;
  link: EntryLink | undefined;
  /** Outstanding attempts of the session that carries this one. */
  sessionAttempts: Map<number, RequestState> | undefined;
  sequence: number;
  /** Whether the current run has started. */
  startEvidence: StartEvidence;
  /** Whether any earlier, abandoned run has started. */
  earlierEvidence: StartEvidence;
  nextPieceIndex: number;
  /** CRC-32 over the accepted pieces. */
  checksum: number;
  headReceived: boolean;
  /** The answer is an event stream, which ends with a closing event. */
  isClosedByEvent: boolean;
  dispatchCount: number;
  resumeCount: number;
  /** When the request stops waiting for a session that can resume its run. */
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
    sessionAttempts: undefined,
    sequence: 0,
    startEvidence: "none",
    earlierEvidence: initialEvidence(call),
    nextPieceIndex: 0,
    checksum: 0,
    headReceived: false,
    isClosedByEvent: false,
    dispatchCount: 0,
    resumeCount: 0,
    giveUpAt: Number.POSITIVE_INFINITY,
  };
}

/** Another entry may have started work for the same idempotency key. */
function initialEvidence({ repeatable, idempotencyKey }: Call): StartEvidence {
  return repeatable || idempotencyKey === "" ? "none" : "maybe";
}

export function strongerEvidence(
  a: StartEvidence,
  b: StartEvidence,
): StartEvidence {
  if (a === "started" || b === "started") return "started";
  return a === "maybe" || b === "maybe" ? "maybe" : "none";
}

/**
 * Maps the evidence of all runs to the outcome; nothing else may decide it.
 * "not-run" needs proof for every attempt of the request: a sent attempt is
 * "maybe" until the agent refuses it or closes the session without having
 * started it.
 */
export function outcomeFromEvidence(
  request: RequestState,
): Exclude<FinalOutcome, "answered" | "unmarked"> {
  switch (strongerEvidence(request.startEvidence, request.earlierEvidence)) {
    case "none":
      return "not-run";
    case "maybe":
      return "unknown";
    case "started":
      return "broken-off";
  }
}

/** True if part of a streamed answer has been sent to the caller. */
export function isPartlyDelivered(request: RequestState): boolean {
  if (!request.call.streamed) return false;
  return request.headReceived || request.nextPieceIndex > 0;
}

/** Removes the attempt from the outstanding attempts of its session. */
export function releaseAttempt(request: RequestState): void {
  request.sessionAttempts?.delete(request.sequence);
  request.sessionAttempts = undefined;
}

/** Resets the state of the current run and keeps its evidence. */
export function resetRun(request: RequestState): void {
  request.earlierEvidence = strongerEvidence(
    request.earlierEvidence,
    request.startEvidence,
  );
  request.startEvidence = "none";
  request.run = "";
  request.nextPieceIndex = 0;
  request.checksum = 0;
  request.headReceived = false;
  request.isClosedByEvent = false;
}
