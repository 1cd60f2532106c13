/**
 * Writes one answer to its caller. A stream is sent piece by piece; any other
 * answer is buffered until it is complete, so that a failure can still be
 * reported by its status code.
 */
import type { ServerResponse } from "node:http";
import { failure, type ApricotdeckError } from "../../internal.js";
import type { Header } from "../../wire/generated/session.js";
import type { CallerLimits } from "./request-reader.js";
import { breakOff, canBeChunked } from "./answer-framing.js";
import type { AnswerWriter } from "./caller-request.js";

export const OUTCOME_HEADER = "apricotdeck-outcome";
export const REQUEST_HEADER = "apricotdeck-request";
const KEEP_ALIVE_COMMENT = ": waiting\n\n";
const END_OF_STREAM_EVENT = "data: [DONE]\n\n";
const NO_RETRY_AFTER_MS = 0;

export interface AnswerWriterOptions {
  readonly request: string;
  readonly streamed: boolean;
  readonly limits: CallerLimits;
}

interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly isEndMarked: boolean;
}

export function createAnswerWriter(
  response: ServerResponse,
  options: AnswerWriterOptions,
): AnswerWriter {
  const callerGone = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) callerGone.abort();
  });
  response.setHeader(REQUEST_HEADER, options.request);
  if (!options.streamed) {
    return createBufferedWriter(response, options, callerGone);
  }
  return canBeChunked(response)
    ? createStreamWriter(response, options, callerGone.signal)
    : createHeldStreamWriter(response, options, callerGone);
}

function createStreamWriter(
  response: ServerResponse,
  { limits }: AnswerWriterOptions,
  signal: AbortSignal,
): AnswerWriter {
  let head: ResponseHead | undefined;
  /** Whether the head that was sent promised a marked end. */
  let isEndMarked = false;
  let pendingEvents: string[] = [];
  let lastWriteAtMs = Date.now();
  const startStallTimer = createWriteStallTimer(response, limits);
  const flush = (): void => {
    if (pendingEvents.length === 0 || response.destroyed) return;
    const text = pendingEvents.join("");
    pendingEvents = [];
    lastWriteAtMs = Date.now();
    if (!response.write(text)) startStallTimer();
  };
  const start = (): void => {
    if (response.headersSent) return;
    isEndMarked = head?.isEndMarked ?? false;
    startStream(response, head);
  };
  const keepAlive = setInterval(() => {
    if (!response.headersSent || response.destroyed) return;
    if (Date.now() - lastWriteAtMs >= limits.keepAliveMs) {
      response.write(KEEP_ALIVE_COMMENT);
    }
  }, limits.keepAliveMs);
  response.once("close", () => {
    clearInterval(keepAlive);
  });
  return {
    signal,
    head: (status, headers, isEndMarked) => {
      head = { status, headers, isEndMarked };
    },
    piece: (data) => {
      start();
      pendingEvents.push(formatEvent(data.toString()));
      // Batches the pieces of one event-loop turn into one write.
      if (pendingEvents.length === 1) setImmediate(flush);
    },
    discard: () => {
      head = undefined;
    },
    end: (isEndConfirmed) => {
      start();
      if (isEndConfirmed) pendingEvents.push(END_OF_STREAM_EVENT);
      flush();
      if (canEndNormally(isEndMarked, isEndConfirmed)) response.end();
      else breakOffAfterWriting(response, KEEP_ALIVE_COMMENT);
    },
    fail: (error, retryAfterMs = NO_RETRY_AFTER_MS) => {
      flush();
      if (response.headersSent) breakOffStream(response, error, retryAfterMs);
      else sendError(response, error, retryAfterMs);
    },
  };
}

/** Sends a stream in one piece with its length. */
function createHeldStreamWriter(
  response: ServerResponse,
  options: AnswerWriterOptions,
  callerGone: AbortController,
): AnswerWriter {
  const writer = createBufferedWriter(response, options, callerGone);
  return {
    ...writer,
    piece: (data) => {
      writer.piece(Buffer.from(formatEvent(data.toString())));
    },
    end: (isEndConfirmed) => {
      if (isEndConfirmed) writer.piece(Buffer.from(END_OF_STREAM_EVENT));
      writer.end(isEndConfirmed);
    },
  };
}

function createBufferedWriter(
  response: ServerResponse,
  { limits }: AnswerWriterOptions,
  callerGone: AbortController,
): AnswerWriter {
  let status = 200;
  let isEndMarked = false;
  let parts: Buffer[] = [];
  let size = 0;
  /** Ignores a later attempt's answer during the delay before the reset. */
  let isBrokenOff = false;
  const startStallTimer = createWriteStallTimer(response, limits);
  const refuseAsTooLarge = (): void => {
    isBrokenOff = true;
    parts = [];
    sendError(response, failure(1223, { limit: limits.answerBytes }));
    callerGone.abort();
  };
  return {
    signal: callerGone.signal,
    head: (code, headers, isMarked) => {
      if (isBrokenOff) return;
      status = code;
      isEndMarked = isMarked;
      for (const { name, value } of headers) response.setHeader(name, value);
    },
    piece: (data) => {
      if (isBrokenOff) return;
      size += data.length;
      if (size <= limits.answerBytes) {
        parts.push(data);
        return;
      }
      if (!canBeChunked(response)) {
        refuseAsTooLarge();
        return;
      }
      if (!response.headersSent) response.writeHead(status);
      for (const part of parts) response.write(part);
      parts = [];
      if (!response.write(data)) startStallTimer();
    },
    discard: () => {
      // The answer exceeded the buffer and was partly sent, so it can't start
      // over. The request sees the broken connection as a caller disconnect.
      if (response.headersSent) {
        isBrokenOff = true;
        breakOff(response);
      }
      parts = [];
      size = 0;
    },
    end: (isEndConfirmed) => {
      if (isBrokenOff) return;
      if (response.headersSent) {
        if (canEndNormally(isEndMarked, isEndConfirmed)) response.end();
        else breakOff(response);
        return;
      }
      const body = Buffer.concat(parts);
      response.setHeader("content-length", body.length);
      response.setHeader(
        OUTCOME_HEADER,
        isEndConfirmed ? "answered" : "unmarked",
      );
      response.writeHead(status);
      response.end(body);
    },
    fail: (error, retryAfterMs = NO_RETRY_AFTER_MS) => {
      if (isBrokenOff) return;
      // Without the end of its body, the answer can't look complete.
      if (response.headersSent) breakOff(response);
      else sendError(response, error, retryAfterMs);
    },
  };
}

/**
 * Prefixes every line with the field name: the caller would ignore a line
 * without it, and an empty line would end the event early.
 */
function formatEvent(data: string): string {
  return `data: ${data.replaceAll("\n", "\ndata: ")}\n\n`;
}

/**
 * An answer whose head promised a marked end is complete only once that end is
 * confirmed. Any other one ends where its backend server closed the connection.
 */
function canEndNormally(
  isEndMarked: boolean,
  isEndConfirmed: boolean,
): boolean {
  return isEndConfirmed || !isEndMarked;
}

/** Breaks the answer off once the text and everything before it were sent. */
function breakOffAfterWriting(response: ServerResponse, text: string): void {
  response.write(text, () => {
    breakOff(response);
  });
}

function startStream(
  response: ServerResponse,
  head: ResponseHead | undefined,
): void {
  for (const { name, value } of head?.headers ?? []) {
    response.setHeader(name, value);
  }
  response.writeHead(head?.status ?? 200, { "x-accel-buffering": "no" });
}

/**
 * Sends an error event without a closing event and breaks the connection before
 * the end of the body, so that neither a client that reads events nor one that
 * reads bytes takes the answer for complete.
 */
function breakOffStream(
  response: ServerResponse,
  error: ApricotdeckError,
  retryAfterMs: number,
): void {
  const body = JSON.stringify(createErrorBody(error, retryAfterMs));
  breakOffAfterWriting(response, `event: error\ndata: ${body}\n\n`);
}

export function sendError(
  response: ServerResponse,
  error: ApricotdeckError,
  retryAfterMs = NO_RETRY_AFTER_MS,
): void {
  if (response.headersSent || response.destroyed) {
    breakOff(response);
    return;
  }
  const { entry } = error;
  const body = JSON.stringify(createErrorBody(error, retryAfterMs));
  response.setHeader("content-type", "application/json");
  response.setHeader(OUTCOME_HEADER, entry.outcome);
  if (retryAfterMs > 0) {
    response.setHeader("retry-after", Math.ceil(retryAfterMs / 1000));
    response.setHeader("retry-after-ms", retryAfterMs);
  }
  const length = { "content-length": Buffer.byteLength(body) };
  response.writeHead(entry.status || 500, length);
  response.end(body);
}

function createErrorBody(
  error: ApricotdeckError,
  retryAfterMs: number,
): object {
  const { name, outcome } = error.entry;
  return {
    error: {
      message: error.message,
      type: name,
      code: error.number,
      outcome,
      ...(retryAfterMs > 0 ? { retry_after_ms: retryAfterMs } : {}),
    },
  };
}

/**
 * Bounds how long a caller that stops reading keeps its answer in memory: after
 * the stall limit the answer is broken off, which the request sees as a caller
 * disconnect. One timer suffices, since it is cleared only when everything
 * written has drained.
 */
function createWriteStallTimer(
  response: ServerResponse,
  { writeStallMs }: CallerLimits,
): () => void {
  let timer: NodeJS.Timeout | undefined;
  const clearTimer = (): void => {
    clearTimeout(timer);
    timer = undefined;
  };
  response.on("drain", clearTimer);
  response.once("close", clearTimer);
  return () => {
    timer ??= setTimeout(() => {
      breakOff(response);
    }, writeStallMs);
  };
}
