/** Client of the platform's append-only log service (docs/PLATFORM.md). */
import { request } from "undici";
import * as z from "zod";
import { raise, toFailure } from "../internal.js";
import { Timeout } from "../shared/timeout.js";

export interface LogRecord {
  readonly offset: number;
  /** When the log stored the record, ms since the Unix epoch. */
  readonly appendedAtMs: number;
  readonly data: Buffer;
}

export interface LogPage {
  /** First offset that the log still holds. */
  readonly startOffset: number;
  /** Offset that the next record will get. */
  readonly nextOffset: number;
  readonly records: readonly LogRecord[];
}

export interface ReadOptions {
  readonly from: number;
  readonly limit?: number;
  /** Longest wait for a record if there is none yet. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

interface CallOptions {
  readonly method: "GET" | "POST";
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

const HTTP_GONE = 410;
const APPEND_TIMEOUT_MS = 5000;
const READ_TIMEOUT_MS = 5000;
const DEFAULT_PAGE_RECORDS = 500;

const pageSchema = z.object({
  startOffset: z.number(),
  nextOffset: z.number(),
  records: z.array(
    z.object({
      offset: z.number(),
      appendedAtMs: z.number(),
      data: z.string(),
    }),
  ),
});

const appendSchema = z.object({ offset: z.number() });
const goneSchema = z.object({ startOffset: z.number() });

export class LogClient {
  private constructor(private readonly address: string) {}

  static create(address: string): LogClient {
    return new LogClient(address);
  }

  /**
   * Returns the offset of the first record. After a failure (1901) the append
   * may still have taken effect; only reading the log tells.
   */
  async append(stream: string, records: readonly Buffer[]): Promise<number> {
    const body = JSON.stringify({
      records: records.map((record) => record.toString("base64")),
    });
    const answer = await this.call(`/streams/${stream}`, {
      method: "POST",
      body,
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    return parseAnswer(appendSchema, answer).offset;
  }

  /** Throws 1902 if the log no longer holds `from`. */
  async read(stream: string, options: ReadOptions): Promise<LogPage> {
    const { from, limit = DEFAULT_PAGE_RECORDS, waitMs = 0, signal } = options;
    const query = `from=${from}&limit=${limit}&waitMs=${waitMs}`;
    const answer = await this.call(`/streams/${stream}?${query}`, {
      method: "GET",
      timeoutMs: waitMs + READ_TIMEOUT_MS,
      ...(signal === undefined ? {} : { signal }),
    });
    const page = parseAnswer(pageSchema, answer);
    const records = page.records.map((record) => ({
      ...record,
      data: Buffer.from(record.data, "base64"),
    }));
    return { ...page, records };
  }

  private async call(path: string, options: CallOptions): Promise<unknown> {
    const { method, body, timeoutMs, signal } = options;
    using timeout = Timeout.create(timeoutMs, signal);
    try {
      const response = await request(`${this.address}${path}`, {
        method,
        signal: timeout.signal,
        ...(body === undefined ? {} : { body }),
      });
      const answer: unknown = await response.body.json();
      if (response.statusCode === HTTP_GONE) {
        raise(1902, parseAnswer(goneSchema, answer));
      }
      if (response.statusCode !== 200) {
        raise(1901, { path, status: response.statusCode });
      }
      return answer;
    } catch (error) {
      throw toFailure(error, 1901);
    }
  }
}

function parseAnswer<T>(schema: z.ZodType<T>, answer: unknown): T {
  const result = schema.safeParse(answer);
  if (result.success) return result.data;
  return raise(1903, { reason: result.error.message });
}
