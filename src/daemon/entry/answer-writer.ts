/**
 * Writes one answer to its caller. A stream goes out piece by piece; a whole
 * answer is held back until it is complete, so that a failure can still be
 * told by its status code.
 */
import type { ServerResponse } from "node:http";
import type { ApricotdeckError } from "../../internal.js";
import type { Header } from "../../wire/generated/session.js";
import type { CallerLimits } from "./request-reader.js";
import { breakOff, endWithConnection } from "./answer-framing.js";
import type { AnswerWriter } from "./work.js";

export const OUTCOME_HEADER = "apricotdeck-outcome";
export const REQUEST_HEADER = "apricotdeck-request";
const KEEP_ALIVE_COMMENT = ": waiting\n\n";
const END_OF_STREAM = "data: [DONE]\n\n";
const NO_RETRY_AFTER = 0;

export interface AnswerOptions {
  readonly request: string;
  readonly streamed: boolean;
  readonly limits: CallerLimits;
}

interface Head {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly isEndMarked: boolean;
}

export function createAnswerWriter(
  response: ServerResponse,
  options: AnswerOptions,
): AnswerWriter {
  const gone = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) gone.abort();
  });
  response.setHeader(REQUEST_HEADER, options.request);
  const { signal } = gone;
  return options.streamed
    ? streamWriter(response, options, signal)
    : wholeWriter(response, options, signal);
}

function streamWriter(
  response: ServerResponse,
  { limits }: AnswerOptions,
  signal: AbortSignal,
): AnswerWriter {
  let head: Head | undefined;
  let waiting: string[] = [];
  let lastWriteMs = Date.now();
  const onStall = createStallGuard(response, limits);
  const flush = (): void => {
    if (waiting.length === 0 || response.destroyed) return;
    const text = waiting.join("");
    waiting = [];
    lastWriteMs = Date.now();
    if (!response.write(text)) onStall();
  };
  const keepAlive = setInterval(() => {
    if (!response.headersSent || response.destroyed) return;
    if (Date.now() - lastWriteMs >= limits.keepAliveMs) {
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
      if (!response.headersSent) startStream(response, head);
      waiting.push(eventOf(data.toString()));
      // Pieces of one turn of the event loop share one write.
      if (waiting.length === 1) setImmediate(flush);
    },
    discard: () => {
      head = undefined;
    },
    end: (isVouched) => {
      if (!response.headersSent) startStream(response, head);
      if (isVouched) waiting.push(END_OF_STREAM);
      flush();
      if (mayEnd(response, isVouched)) response.end();
      else breakOffAfter(response, KEEP_ALIVE_COMMENT);
    },
    fail: (error, retryAfterMs = NO_RETRY_AFTER) => {
      flush();
      if (response.headersSent) breakStream(response, error, retryAfterMs);
      else sendError(response, error, retryAfterMs);
    },
  };
}

function wholeWriter(
  response: ServerResponse,
  { limits }: AnswerOptions,
  signal: AbortSignal,
): AnswerWriter {
  let status = 200;
  let isEndMarked = false;
  let parts: Buffer[] = [];
  let size = 0;
  /** The reset comes after a pause, in which a later attempt may answer. */
  let isCut = false;
  const onStall = createStallGuard(response, limits);
  return {
    signal,
    head: (code, headers, isMarked) => {
      if (isCut) return;
      status = code;
      isEndMarked = isMarked;
      for (const { name, value } of headers) response.setHeader(name, value);
    },
    piece: (data) => {
      if (isCut) return;
      size += data.length;
      if (size <= limits.answerBytes) {
        parts.push(data);
        return;
      }
      if (!response.headersSent) {
        if (!isEndMarked) endWithConnection(response);
        response.writeHead(status);
      }
      for (const part of parts) response.write(part);
      parts = [];
      if (!response.write(data)) onStall();
    },
    discard: () => {
      // A part too large to hold back is with the caller already: the answer
      // is cut, which the request sees as a caller that is gone.
      if (response.headersSent) {
        isCut = true;
        breakOff(response);
      }
      parts = [];
      size = 0;
    },
    end: (isVouched) => {
      if (isCut) return;
      if (response.headersSent) {
        if (mayEnd(response, isVouched)) response.end();
        else breakOff(response);
        return;
      }
      const body = Buffer.concat(parts);
      if (isVouched) response.setHeader("content-length", body.length);
      else endWithConnection(response);
      response.setHeader(OUTCOME_HEADER, isVouched ? "answered" : "unmarked");
      response.writeHead(status);
      response.end(body);
    },
    fail: (error, retryAfterMs = NO_RETRY_AFTER) => {
      // Closing without the end of the body: never looks complete.
      if (response.headersSent) breakOff(response);
      else sendError(response, error, retryAfterMs);
    },
  };
}

/**
 * Each line of the data is one of the event: a line without its name would be
 * lost to the caller, and an empty one would end the event early.
 */
function eventOf(data: string): string {
  return `data: ${data.replaceAll("\n", "\ndata: ")}\n\n`;
}

/**
 * Ending in good order marks the end of what went out in chunks, so it takes
 * somebody who vouches for it. Without chunks it says nothing, which is right.
 */
function mayEnd(response: ServerResponse, isVouched: boolean): boolean {
  return isVouched || !response.chunkedEncoding;
}

/** Breaks the answer off once the text and all before it have left. */
function breakOffAfter(response: ServerResponse, text: string): void {
  response.write(text, () => {
    breakOff(response);
  });
}

function startStream(response: ServerResponse, head: Head | undefined): void {
  if (head?.isEndMarked !== true) endWithConnection(response);
  for (const { name, value } of head?.headers ?? []) {
    response.setHeader(name, value);
  }
  response.writeHead(head?.status ?? 200, { "x-accel-buffering": "no" });
}

/**
 * The error event has no closing event behind it, and the connection is cut
 * before the end of the body, so neither a client that reads events nor one
 * that reads bytes takes the answer for whole.
 */
function breakStream(
  response: ServerResponse,
  error: ApricotdeckError,
  retryAfterMs: number,
): void {
  const body = JSON.stringify(errorBody(error, retryAfterMs));
  breakOffAfter(response, `event: error\ndata: ${body}\n\n`);
}

export function sendError(
  response: ServerResponse,
  error: ApricotdeckError,
  retryAfterMs = NO_RETRY_AFTER,
): void {
  if (response.headersSent || response.destroyed) {
    breakOff(response);
    return;
  }
  const { entry } = error;
  const body = JSON.stringify(errorBody(error, retryAfterMs));
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

function errorBody(error: ApricotdeckError, retryAfterMs: number): object {
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
 * A caller that stops reading would hold its answer in memory for ever; after
 * the stall limit the connection is cut, which the request sees as a caller
 * that is gone. One guard at a time is enough: it ends when all that was
 * written has left, whatever was added meanwhile.
 */
function createStallGuard(
  response: ServerResponse,
  { writeStallMs }: CallerLimits,
): () => void {
  let timer: NodeJS.Timeout | undefined;
  const release = (): void => {
    clearTimeout(timer);
    timer = undefined;
  };
  response.on("drain", release);
  response.once("close", release);
  return () => {
    timer ??= setTimeout(() => {
      breakOff(response);
    }, writeStallMs);
  };
}
