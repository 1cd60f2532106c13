/** Turns an agent's frames for an attempt into the caller's answer. */
import { crc32 } from "node:zlib";
import type { Emit } from "../shared/events.js";
import { unreachable } from "../shared/exhaustive.js";
import { isClosedByEvent } from "./closing-event.js";
import type { EntryLink } from "./entry-link.js";
import type { EntryRequests } from "./entry-requests.js";
import type { RequestState } from "./request-state.js";
import type { EntryEffect } from "./entry-types.js";
import type { AttemptFrame, DropReason } from "./types.js";

export interface AnswerContext {
  readonly perform: (effect: EntryEffect) => void;
  readonly emit: Emit;
  readonly requests: EntryRequests;
  readonly drop: (attempt: string, reason: DropReason) => void;
  readonly resume: (request: RequestState, now: number) => void;
  readonly checksPieceIndex: boolean;
  readonly checksChecksum: boolean;
  readonly checksEndMark: boolean;
}

type Frame<K extends AttemptFrame["kind"]> = Extract<AttemptFrame, { kind: K }>;

export function handleAttemptFrame(
  context: AnswerContext,
  link: EntryLink,
  frame: AttemptFrame,
  now: number,
): void {
  const request = context.requests.byAttempt.get(frame.attempt);
  // Only frames of the current attempt, on the session that carries it, are
  // accepted. Others belong to an answer that was abandoned.
  if (request?.sessionAttempts !== link.outstanding) {
    context.drop(frame.attempt, "attempt-unknown");
    return;
  }
  switch (frame.kind) {
    case "piece":
      handlePiece(context, request, frame, now);
      return;
    case "started":
      markStarted(context, request);
      return;
    case "head":
      handleHead(context, request, frame);
      return;
    case "end":
      handleEnd(context, request, frame, now);
      return;
    case "refused":
      handleRefusal(context, request, frame, now);
      return;
    case "broken":
      request.startEvidence = "started";
      context.requests.abandonRun(request, frame.error, "broken", now);
      return;
    default:
      unreachable(frame);
  }
}

function markStarted(context: AnswerContext, request: RequestState): void {
  if (request.startEvidence === "started") return;
  request.startEvidence = "started";
  const { attempt, call } = request;
  context.emit(123, { request: call.request, attempt });
}

function handleHead(
  context: AnswerContext,
  request: RequestState,
  frame: Frame<"head">,
): void {
  markStarted(context, request);
  const { status, headers } = frame;
  request.isClosedByEvent = isClosedByEvent(headers);
  if (request.headReceived) return;
  request.headReceived = true;
  const isEndMarked = frame.isEndMarked || request.isClosedByEvent;
  const { request: id } = request.call;
  context.perform({ kind: "head", request: id, status, headers, isEndMarked });
}

/**
 * Accepts only the next piece. A duplicate would repeat text in the caller's
 * answer; after a gap, the run is resumed at once from the missing piece. No
 * piece is accepted before the head.
 */
function handlePiece(
  context: AnswerContext,
  request: RequestState,
  frame: Frame<"piece">,
  now: number,
): void {
  const isNext = request.headReceived && frame.index === request.nextPieceIndex;
  if (context.checksPieceIndex && !isNext) {
    const isLate = frame.index < request.nextPieceIndex;
    context.drop(frame.attempt, isLate ? "piece-doubled" : "piece-early");
    if (!isLate) context.resume(request, now);
    return;
  }
  markStarted(context, request);
  request.nextPieceIndex += 1;
  request.checksum = crc32(frame.data, request.checksum);
  const { request: id } = request.call;
  context.perform({ kind: "piece", request: id, data: frame.data });
}

/**
 * An answer is complete only if the agent's count and checksum match the
 * accepted pieces. Missing pieces are fetched by a resumption. A checksum
 * mismatch means that pieces of different generations were mixed, for instance
 * after an engine restart; the answer is broken then.
 */
function handleEnd(
  context: AnswerContext,
  request: RequestState,
  frame: Frame<"end">,
  now: number,
): void {
  markStarted(context, request);
  const hasMissingPieces =
    !request.headReceived || frame.count > request.nextPieceIndex;
  if (context.checksChecksum && hasMissingPieces) {
    context.resume(request, now);
    return;
  }
  const isComplete =
    frame.count === request.nextPieceIndex &&
    frame.checksum === request.checksum;
  if (isComplete || !context.checksChecksum) {
    const outcome = isEndConfirmed(context, request, frame)
      ? "answered"
      : "unmarked";
    context.requests.finish(request, outcome, 0, now);
  } else {
    context.requests.abandonRun(request, 1217, "broken", now);
  }
}

/**
 * Count and checksum show that the entry has everything the agent read, not
 * that the agent read the complete answer. Older agents never report an end
 * mark, because they treat a closed connection as the end of the answer.
 */
function isEndConfirmed(
  context: AnswerContext,
  request: RequestState,
  frame: Frame<"end">,
): boolean {
  if (!context.checksEndMark) return true;
  return frame.isEndMarked || request.isClosedByEvent;
}

/**
 * A refusal of new work proves that it never starts. A refused resumption
 * proves nothing about the run itself.
 */
function handleRefusal(
  context: AnswerContext,
  request: RequestState,
  frame: Frame<"refused">,
  now: number,
): void {
  if (request.run === request.attempt) {
    context.requests.retryPlacement(
      request,
      frame.error,
      frame.retryAfterMs,
      now,
    );
  } else {
    context.requests.abandonRun(request, 1210, "lost", now);
  }
}
