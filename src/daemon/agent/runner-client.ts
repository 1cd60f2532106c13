/**
 * HTTP client of the one backend server beside the agent: a model engine or a
 * plain service. An answer arrives as pieces: one server-sent event each for a
 * stream, a part of the body otherwise.
 */
import { createParser } from "eventsource-parser";
import { Agent as HttpPool, type Dispatcher } from "undici";
import { raise, toFailure } from "../../internal.js";
import type { Dispatch, Header } from "../../wire/generated/session.js";

export interface AnswerSink {
  readonly head: (status: number, headers: readonly Header[]) => void;
  readonly piece: (data: Buffer) => void;
}

const CONNECTIONS = 1024;
const LONGEST_SILENCE_MS = 120_000;
const END_OF_STREAM = "[DONE]";

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
  ) {}

  static create(address: string): RunnerClient {
    const pool = new HttpPool({
      connections: CONNECTIONS,
      pipelining: 1,
      bodyTimeout: LONGEST_SILENCE_MS,
      headersTimeout: LONGEST_SILENCE_MS,
    });
    return new RunnerClient(address.replace(/\/$/, ""), pool);
  }

  /** Resolves when the answer is whole; throws 1216 when it breaks off. */
  async run(
    dispatch: Dispatch,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<void> {
    try {
      const response = await this.pool.request({
        origin: this.origin,
        signal,
        ...requestOf(dispatch),
      });
      await readAnswer(response, sink);
    } catch (error) {
      throw toFailure(error, 1216);
    }
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
}

function requestOf(
  dispatch: Dispatch,
): Omit<Dispatcher.RequestOptions, "origin"> {
  const { resumeOf, fromIndex, attempt, priority, deadlineMs } = dispatch;
  if (resumeOf !== "") {
    return { method: "GET", path: `/requests/${resumeOf}?from=${fromIndex}` };
  }
  const headers: Record<string, string> = {};
  for (const { name, value } of dispatch.headers) headers[name] = value;
  headers["x-request-id"] = attempt;
  headers["x-priority"] = String(priority);
  headers["x-deadline-ms"] = String(deadlineMs);
  const method = dispatch.method;
  const hasBody = dispatch.body.length > 0;
  const body = hasBody ? dispatch.body : null;
  return { method, path: dispatch.path, headers, body };
}

async function readAnswer(
  response: Dispatcher.ResponseData,
  sink: AnswerSink,
): Promise<void> {
  const headers = headersOf(response);
  sink.head(response.statusCode, headers);
  const isStream = headers.some(
    ({ name, value }) =>
      name === "content-type" && value.startsWith("text/event-stream"),
  );
  if (isStream) await readEvents(response, sink);
  else await readParts(response, sink);
}

async function readParts(
  { body }: Dispatcher.ResponseData,
  sink: AnswerSink,
): Promise<void> {
  for await (const part of body) sink.piece(part as Buffer);
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
  for await (const part of body) {
    parser.feed(decoder.decode(part as Buffer, { stream: true }));
  }
  if (!seen.end) raise(1216, { reason: "the stream has no closing event" });
}

function headersOf({ headers }: Dispatcher.ResponseData): Header[] {
  return Object.entries(headers)
    .filter(([name]) => passedHeaders.has(name))
    .map(([name, value]) => ({ name, value: String(value) }));
}
