/**
 * HTTP client for the agent's backend server: a model engine or a plain
 * service. An answer is delivered in pieces: one per server-sent event for a
 * stream, otherwise fixed-size chunks of the body.
 */
import { createParser } from "eventsource-parser";
import { Agent as HttpPool, type Dispatcher } from "undici";
import { raise, toFailure, type Call, type Header } from "../../internal.js";
import { isClosedByEvent } from "../../session/closing-event.js";
import { isEndMarked } from "../../shared/answer-end.js";
import { createConnector } from "../../shared/connector.js";
import type { RunnerRest } from "./runner-rest.js";

export interface AnswerSink {
  /**
   * `isEndMarked`: the framing tells a complete answer from a truncated one.
   */
  readonly head: (
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ) => void;
  readonly piece: (data: Buffer) => void;
}

/** The request that starts one run in the engine. */
export interface RunRequest {
  /** Id by which the engine knows the run. */
  readonly run: string;
  readonly call: Call;
  readonly deadlineMs: number;
}

const MAXIMUM_CONNECTIONS = 1024;
/** A backend server may at least be silent for this time, ms. */
const MINIMUM_IDLE_TIMEOUT_MS = 120_000;
const END_OF_STREAM = "[DONE]";
const PIECE_BYTES = 65_536;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

const forwardedHeaders: ReadonlySet<string> = new Set([
  "content-type",
  "content-language",
  "cache-control",
  "etag",
  "location",
]);

export class RunnerClient {
  private constructor(
    private readonly origin: string,
    private readonly pool: HttpPool,
    private readonly isModel: boolean,
    private readonly rest: RunnerRest | undefined,
  ) {}

  static create(
    address: string,
    kind: "model" | "service" = "model",
    rest?: RunnerRest,
  ): RunnerClient {
    const pool = new HttpPool({
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      connect: createConnector({}),
      bodyTimeout: MINIMUM_IDLE_TIMEOUT_MS,
      headersTimeout: MINIMUM_IDLE_TIMEOUT_MS,
    });
    const origin = address.replace(/\/$/, "");
    return new RunnerClient(origin, pool, kind === "model", rest);
  }

  /**
   * Resolves when the answer has ended. It is known to be complete only if the
   * head said that the end is marked. Throws 1214 if the run never started and
   * 1216 if it may have started but the answer is incomplete.
   */
  async start(
    request: RunRequest,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<void> {
    const response = await this.request(createRequestOptions(request), signal);
    if (this.isModel && isRefusal(response)) {
      await response.body.dump();
      raise(1214, { status: response.statusCode });
    }
    await readToEnd(response, request.call.method, sink);
  }

  /** Like `start`, for an existing run; throws 1405 if the engine has none. */
  async resume(
    { run, deadlineMs }: Pick<RunRequest, "run" | "deadlineMs">,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<void> {
    const path = `/requests/${run}?from=0`;
    const options = {
      method: "GET",
      path,
      ...idleTimeouts(deadlineMs),
    } as const;
    const response = await this.request(options, signal);
    if (response.statusCode === HTTP_NOT_FOUND) {
      await response.body.dump();
      raise(1405, { run });
    }
    await readToEnd(response, "GET", sink);
  }

  async cancel(run: string): Promise<void> {
    const path = `/requests/${run}`;
    const origin = this.origin;
    const response = await this.pool.request({
      origin,
      path,
      method: "DELETE",
    });
    await response.body.dump();
  }

  /** Fetches a JSON document from the runner. */
  async getJson(path: string, signal: AbortSignal): Promise<unknown> {
    const origin = this.origin;
    const method = "GET";
    try {
      const options = { origin, path, method, signal } as const;
      const response = await this.pool.request(options);
      return await response.body.json();
    } catch (error) {
      if (failedToConnect(error)) this.rest?.onUnreachable();
      throw error;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool.destroy();
  }

  private async request(
    request: Omit<Dispatcher.RequestOptions, "origin">,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const { origin } = this;
    try {
      const options = { origin, signal, ...request };
      const response = await this.pool.request(options);
      this.rest?.onAnswer(response.statusCode, retryAfterOf(response));
      return response;
    } catch (error) {
      if (failedToConnect(error)) this.rest?.onUnreachable();
      throw toFailure(error, failedToConnect(error) ? 1214 : 1216);
    }
  }
}

/** Without a connection, no byte of the request has left this process. */
function failedToConnect(error: unknown): boolean {
  if (!(error instanceof Error) || !("code" in error)) return false;
  const { code } = error;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

/** Repeated values are joined, so that they can't pass for one. */
function retryAfterOf({
  headers,
}: Dispatcher.ResponseData): string | undefined {
  const value = headers["retry-after"];
  return Array.isArray(value) ? value.join(", ") : value;
}

/** With these status codes, the engine hasn't started the run. */
function isRefusal({ statusCode }: Dispatcher.ResponseData): boolean {
  return (
    statusCode === HTTP_UNAVAILABLE || statusCode === HTTP_TOO_MANY_REQUESTS
  );
}

async function readToEnd(
  response: Dispatcher.ResponseData,
  method: string,
  sink: AnswerSink,
): Promise<void> {
  try {
    await readAnswer(response, method, sink);
  } catch (error) {
    throw toFailure(error, 1216);
  }
}

function createRequestOptions({
  run,
  call,
  deadlineMs,
}: RunRequest): Omit<Dispatcher.RequestOptions, "origin"> {
  const headers: Record<string, string> = {};
  for (const { name, value } of call.headers) headers[name] = value;
  headers["x-request-id"] = run;
  headers["x-priority"] = String(call.priority);
  headers["x-deadline-ms"] = String(deadlineMs);
  const body = call.body.length > 0 ? call.body : null;
  const { method, path } = call;
  return { method, path, headers, body, ...idleTimeouts(deadlineMs) };
}

/** A silent run is given up no sooner than at its deadline. */
export function idleTimeouts(
  deadlineMs: number,
): Pick<Dispatcher.RequestOptions, "headersTimeout" | "bodyTimeout"> {
  const timeoutMs = Math.max(MINIMUM_IDLE_TIMEOUT_MS, deadlineMs);
  return { headersTimeout: timeoutMs, bodyTimeout: timeoutMs };
}

async function readAnswer(
  response: Dispatcher.ResponseData,
  method: string,
  sink: AnswerSink,
): Promise<void> {
  const headers = selectForwardedHeaders(response);
  const { statusCode } = response;
  const isStream = isClosedByEvent(headers);
  const isMarked =
    isStream || isEndMarked(statusCode, response.headers, method);
  sink.head(statusCode, headers, isMarked);
  if (isStream) await readEvents(response, sink);
  else await readFixedSizePieces(response, sink);
}

/**
 * Emits pieces of a fixed size, so that a resumed answer is split at the same
 * offsets however the network delivers it.
 */
async function readFixedSizePieces(
  { body }: Dispatcher.ResponseData,
  sink: AnswerSink,
): Promise<void> {
  let rest: Buffer = Buffer.alloc(0);
  for await (const part of body) {
    rest =
      rest.length === 0 ? (part as Buffer) : concatenate(rest, part as Buffer);
    while (rest.length >= PIECE_BYTES) {
      sink.piece(rest.subarray(0, PIECE_BYTES));
      rest = rest.subarray(PIECE_BYTES);
    }
  }
  if (rest.length > 0) sink.piece(rest);
}

function concatenate(a: Buffer, b: Buffer): Buffer {
  return Buffer.concat([a, b]);
}

/** A stream without its closing event is truncated, however HTTP ended. */
async function readEvents(
  { body }: Dispatcher.ResponseData,
  sink: AnswerSink,
): Promise<void> {
  const state = { isClosed: false };
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_OF_STREAM) state.isClosed = true;
      else sink.piece(Buffer.from(data));
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const part of body) {
      parser.feed(decoder.decode(part as Buffer, { stream: true }));
    }
  } catch (error) {
    // After the closing event the answer is complete; the error doesn't matter.
    if (!state.isClosed) throw error;
  }
  if (!state.isClosed)
    raise(1216, { reason: "the stream has no closing event" });
}

function selectForwardedHeaders({
  headers,
}: Dispatcher.ResponseData): Header[] {
  return Object.entries(headers)
    .filter(([name]) => forwardedHeaders.has(name))
    .map(([name, value]) => ({ name, value: String(value) }));
}
