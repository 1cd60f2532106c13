/**
 * HTTP client of the one backend server beside the agent: a model engine or a
 * plain service. An answer arrives as pieces: one server-sent event each for a
 * stream, a part of the body otherwise.
 */
import { createParser } from "eventsource-parser";
import { Agent as HttpPool, type Dispatcher } from "undici";
import { raise, toFailure, type Call, type Header } from "../../internal.js";
import { isClosedByEvent } from "../../session/closing-event.js";
import { isEndMarked } from "../../shared/answer-end.js";
import { createConnector } from "../../shared/connector.js";

export interface AnswerSink {
  /** `isEndMarked`: an end that follows is the answer's own, not a break. */
  readonly head: (
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ) => void;
  readonly piece: (data: Buffer) => void;
}

/** One run as the engine gets it. */
export interface RunnerWork {
  /** The engine's name for it. */
  readonly run: string;
  readonly call: Call;
  readonly deadlineMs: number;
}

const CONNECTIONS = 1024;
const LONGEST_SILENCE_MS = 120_000;
const END_OF_STREAM = "[DONE]";
const PART_BYTES = 65_536;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

const passedHeaders: ReadonlySet<string> = new Set([
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
  ) {}

  static create(
    address: string,
    kind: "model" | "service" = "model",
  ): RunnerClient {
    const pool = new HttpPool({
      connections: CONNECTIONS,
      pipelining: 1,
      connect: createConnector({}),
      bodyTimeout: LONGEST_SILENCE_MS,
      headersTimeout: LONGEST_SILENCE_MS,
    });
    const origin = address.replace(/\/$/, "");
    return new RunnerClient(origin, pool, kind === "model");
  }

  /**
   * Resolves when the answer has ended: whole if its head says that the end is
   * marked, else as far as can be known. Throws 1214 when the work was never
   * started, 1216 when it may have been and the answer broke off.
   */
  async start(
    work: RunnerWork,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<void> {
    const response = await this.request(requestOf(work), signal);
    if (this.isModel && isRefusal(response)) {
      await response.body.dump();
      raise(1214, { status: response.statusCode });
    }
    await readToEnd(response, work.call.method, sink);
  }

  /** As above; throws 1405 when the engine knows no run of this name. */
  async resume(
    run: string,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<void> {
    const path = `/requests/${run}?from=0`;
    const response = await this.request({ method: "GET", path }, signal);
    if (response.statusCode === HTTP_NOT_FOUND) {
      await response.body.dump();
      raise(1405, { run });
    }
    await readToEnd(response, "GET", sink);
  }

  async cancel(attempt: string): Promise<void> {
    const path = `/requests/${attempt}`;
    const origin = this.origin;
    const answer = await this.pool.request({ origin, path, method: "DELETE" });
    await answer.body.dump();
  }

  /** A JSON document of the runner. */
  async getJson(path: string, signal: AbortSignal): Promise<unknown> {
    const origin = this.origin;
    const method = "GET";
    const answer = await this.pool.request({ origin, path, method, signal });
    return answer.body.json();
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
      return await this.pool.request({ origin, signal, ...request });
    } catch (error) {
      throw toFailure(error, neverConnected(error) ? 1214 : 1216);
    }
  }
}

/** Without a connection no byte of the work has left this process. */
function neverConnected(error: unknown): boolean {
  if (!(error instanceof Error) || !("code" in error)) return false;
  const { code } = error;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

/** An engine that answers so has not taken the run. */
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

function requestOf({
  run,
  call,
  deadlineMs,
}: RunnerWork): Omit<Dispatcher.RequestOptions, "origin"> {
  const headers: Record<string, string> = {};
  for (const { name, value } of call.headers) headers[name] = value;
  headers["x-request-id"] = run;
  headers["x-priority"] = String(call.priority);
  headers["x-deadline-ms"] = String(deadlineMs);
  const body = call.body.length > 0 ? call.body : null;
  return { method: call.method, path: call.path, headers, body };
}

async function readAnswer(
  response: Dispatcher.ResponseData,
  method: string,
  sink: AnswerSink,
): Promise<void> {
  const headers = headersOf(response);
  const { statusCode } = response;
  const isStream = isClosedByEvent(headers);
  const isMarked =
    isStream || isEndMarked(statusCode, response.headers, method);
  sink.head(statusCode, headers, isMarked);
  if (isStream) await readEvents(response, sink);
  else await readParts(response, sink);
}

/**
 * Parts of one size: a resumed answer must fall into the same pieces, however
 * the network cut it.
 */
async function readParts(
  { body }: Dispatcher.ResponseData,
  sink: AnswerSink,
): Promise<void> {
  let rest: Buffer = Buffer.alloc(0);
  for await (const part of body) {
    rest = rest.length === 0 ? (part as Buffer) : joined(rest, part as Buffer);
    while (rest.length >= PART_BYTES) {
      sink.piece(rest.subarray(0, PART_BYTES));
      rest = rest.subarray(PART_BYTES);
    }
  }
  if (rest.length > 0) sink.piece(rest);
}

function joined(a: Buffer, b: Buffer): Buffer {
  return Buffer.concat([a, b]);
}

/** A stream without its closing event was cut, whatever HTTP says of it. */
async function readEvents(
  { body }: Dispatcher.ResponseData,
  sink: AnswerSink,
): Promise<void> {
  const seen = { end: false };
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_OF_STREAM) seen.end = true;
      else sink.piece(Buffer.from(data));
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const part of body) {
      parser.feed(decoder.decode(part as Buffer, { stream: true }));
    }
  } catch (error) {
    // After the closing event nothing is missing that could be lost.
    if (!seen.end) throw error;
  }
  if (!seen.end) raise(1216, { reason: "the stream has no closing event" });
}

function headersOf({ headers }: Dispatcher.ResponseData): Header[] {
  return Object.entries(headers)
    .filter(([name]) => passedHeaders.has(name))
    .map(([name, value]) => ({ name, value: String(value) }));
}
