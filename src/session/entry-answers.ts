/** Takes the agent's frames for one attempt into the caller's answer. */
import { crc32 } from "node:zlib";
import type { Emit } from "../shared/events.js";
import { unreachable } from "../shared/exhaustive.js";
import { isClosedByEvent } from "./closing-event.js";
import type { EntryLink } from "./entry-link.js";
import type { EntryRequests } from "./entry-requests.js";
import type { RequestState } from "./entry-request.js";
import type { EntryEffect } from "./entry-types.js";
import type { AttemptFrame, DropReason } from "./types.js";

export interface AnswerTools {
  readonly perform: (effect: EntryEffect) => void;
  readonly emit: Emit;
  readonly requests: EntryRequests;
  readonly drop: (attempt: string, reason: DropReason) => void;
  readonly resume: (request: RequestState, now: number) => void;
  readonly checksIndex: boolean;
  readonly checksChecksum: boolean;
  readonly checksEndMark: boolean;
}

type Frame<K extends AttemptFrame["kind"]> = Extract<AttemptFrame, { kind: K }>;

export function takeAttemptFrame(
  tools: AnswerTools,
  link: EntryLink,
  frame: AttemptFrame,
  now: number,
): void {
  const request = tools.requests.byAttempt.get(frame.attempt);
  // Only the current attempt, on the session that it went out on: a frame of
  // an attempt given up belongs to an answer that is no longer followed.
  if (request?.holder !== link.outstanding) {
    tools.drop(frame.attempt, "attempt-unknown");
    return;
  }
  switch (frame.kind) {
    case "piece":
      takePiece(tools, request, frame, now);
      return;
    case "started":
      noteStart(tools, request);
      return;
    case "head":
      takeHead(tools, request, frame);
      return;
    case "end":
      takeEnd(tools, request, frame, now);
      return;
    case "refused":
      takeRefusal(tools, request, frame, now);
      return;
    case "broken":
      request.evidence = "started";
      tools.requests.abandon(request, frame.error, "broken", now);
      return;
    default:
      unreachable(frame);
  }
}

function noteStart(tools: AnswerTools, request: RequestState): void {
  if (request.evidence === "started") return;
  request.evidence = "started";
  const { attempt, call } = request;
  tools.emit(123, { request: call.request, attempt });
}

function takeHead(
  tools: AnswerTools,
  request: RequestState,
  frame: Frame<"head">,
): void {
  noteStart(tools, request);
  const { status, headers } = frame;
  request.isClosedByEvent = isClosedByEvent(headers);
  if (request.headTaken) return;
  request.headTaken = true;
  const isEndMarked = frame.isEndMarked || request.isClosedByEvent;
  const { request: id } = request.call;
  tools.perform({ kind: "head", request: id, status, headers, isEndMarked });
}

/**
 * Takes only the next piece. A doubled one would repeat words in the caller's
 * answer; after a gap the missing pieces are asked for again at once. The head
 * counts as the piece before the first.
 */
function takePiece(
  tools: AnswerTools,
  request: RequestState,
  frame: Frame<"piece">,
  now: number,
): void {
  const isNext = request.headTaken && frame.index === request.nextIndex;
  if (tools.checksIndex && !isNext) {
    const isLate = frame.index < request.nextIndex;
    tools.drop(frame.attempt, isLate ? "piece-doubled" : "piece-early");
    if (!isLate) tools.resume(request, now);
    return;
  }
  noteStart(tools, request);
  request.nextIndex += 1;
  request.checksum = crc32(frame.data, request.checksum);
  const { request: id } = request.call;
  tools.perform({ kind: "piece", request: id, data: frame.data });
}

/**
 * An answer is whole only if the agent's count and checksum agree with what
 * was taken. A lower count means lost pieces, which can be had again; another
 * checksum means pieces of another run, as after an engine that restarted and
 * generated other words: no piece can be trusted then.
 */
function takeEnd(
  tools: AnswerTools,
  request: RequestState,
  frame: Frame<"end">,
  now: number,
): void {
  noteStart(tools, request);
  const isPartMissing = !request.headTaken || frame.count > request.nextIndex;
  if (tools.checksChecksum && isPartMissing) {
    tools.resume(request, now);
    return;
  }
  const isWhole =
    frame.count === request.nextIndex && frame.checksum === request.checksum;
  if (isWhole || !tools.checksChecksum) {
    const outcome = isVouched(tools, request, frame) ? "answered" : "unmarked";
    tools.requests.finish(request, outcome, 0, now);
  } else {
    tools.requests.abandon(request, 1217, "broken", now);
  }
}

/**
 * Count and checksum say that the entry has all that the agent read, not that
 * the agent read all there was. An older agent vouches for nothing here: it
 * takes the end of a connection for the end of an answer.
 */
function isVouched(
  tools: AnswerTools,
  request: RequestState,
  frame: Frame<"end">,
): boolean {
  if (!tools.checksEndMark) return true;
  return frame.isVouched || request.isClosedByEvent;
}

/**
 * A refusal of new work proves that it never starts. A refused resumption
 * proves nothing about the run that it asked for.
 */
function takeRefusal(
  tools: AnswerTools,
  request: RequestState,
  frame: Frame<"refused">,
  now: number,
): void {
  if (request.run === request.attempt) {
    tools.requests.placeAgain(request, frame.error, frame.retryAfterMs, now);
  } else {
    tools.requests.abandon(request, 1210, "lost", now);
  }
}
