/**
 * Stand-in of the users' store as far as the direct path reads it: keyed
 * topics with their newest records and history, outages, a forgotten history,
 * connections that fall silent, and a return from a copy of some time before.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { headerNames, paths } from "../platform/names.js";
import { listen, type Listening } from "../src/daemon/listening.js";

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  /** Takes the place of key and value in the history; not a newest record. */
  readonly bytes?: Buffer;
}

/** How the store treats calls for the time being. */
export type StoreMood = "well" | "refusing" | "silent";

const GONE = 410;
const UNAVAILABLE = 503;
const LONGEST_WAIT_MS = 30_000;
const LENGTH_BYTES = 4;

class Topic {
  readonly records: StoredRecord[] = [];
  firstOffset = 0;
  private readonly waiting = new Set<() => void>();

  private constructor() {
    // Made by create.
  }

  static create(): Topic {
    return new Topic();
  }

  /** Offsets from here on are given out again. */
  goBackTo(offset: number): void {
    this.records.length = Math.min(this.records.length, offset);
    this.firstOffset = Math.min(this.firstOffset, offset);
  }

  append(record: StoredRecord): void {
    this.records.push(record);
    for (const wake of this.waiting) wake();
  }

  get nextOffset(): number {
    return this.records.length;
  }

  async waitBeyond(offset: number, waitMs: number): Promise<void> {
    if (this.nextOffset > offset || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.waiting.add(done);
    });
  }
}

/** What the store held at a moment: the next offset of each topic, by name. */
export type StoreCopy = ReadonlyMap<string, number>;

export class KeyedStore implements AsyncDisposable {
  mood: StoreMood = "well";
  /** Rises by one with each return from a copy. */
  era = 1;
  /** Calls by path, refused ones included. */
  readonly calls = new Map<string, number>();
  private readonly topics = new Map<string, Topic>();
  private listening: Listening | undefined;

  private constructor() {
    // Made by create.
  }

  static async create(): Promise<KeyedStore> {
    const store = new KeyedStore();
    const server = createServer((request, response) => {
      void store.answer(request, response);
    });
    store.listening = await listen(server, { host: "127.0.0.1", port: 0 });
    return store;
  }

  /** host:port */
  get address(): string {
    return this.listening?.address ?? "";
  }

  put(topic: string, key: string, value: unknown): void {
    this.putBytes(topic, key, Buffer.from(JSON.stringify(value)));
  }

  putBytes(topic: string, key: string, value: Buffer): void {
    this.topicOf(topic).append({ key, value });
  }

  /** A record as its writer framed it, without a key that could be read. */
  putUnframed(topic: string, bytes: Buffer): void {
    this.topicOf(topic).append({ key: "", value: undefined, bytes });
  }

  drop(topic: string, key: string): void {
    this.topicOf(topic).append({ key, value: undefined });
  }

  /** The newest record of each key stays. */
  forgetHistory(topic: string): void {
    const known = this.topicOf(topic);
    known.firstOffset = known.nextOffset;
  }

  copy(): StoreCopy {
    const topics = [...this.topics];
    return new Map(topics.map(([name, { nextOffset }]) => [name, nextOffset]));
  }

  /** What was written since the copy is lost. */
  returnFrom(copy: StoreCopy): void {
    this.era += 1;
    for (const [name, topic] of this.topics)
      topic.goBackTo(copy.get(name) ?? 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.listening?.[Symbol.asyncDispose]();
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    if (this.mood === "silent") return;
    response.setHeader(headerNames.storeEra, this.era);
    if (this.mood === "refusing") {
      response.writeHead(UNAVAILABLE).end();
      return;
    }
    const topic = this.topicOf(url.searchParams.get("topic") ?? "");
    if (url.pathname === paths.newest) sendNewest(topic, response);
    else if (url.pathname === paths.append) {
      await takeAppended(topic, request);
      sendJson(response, 200, { end_offset: topic.nextOffset });
    } else if (url.pathname === paths.read) {
      await this.sendChanges(topic, url.searchParams, response);
    } else response.writeHead(404).end();
  }

  private async sendChanges(
    topic: Topic,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get("start_key"));
    const waitMs = Math.min(Number(query.get("wait_ms")), LONGEST_WAIT_MS);
    await topic.waitBeyond(from, waitMs);
    response.setHeader(headerNames.storeEra, this.era);
    if (from < topic.firstOffset || from > topic.nextOffset) {
      sendJson(response, GONE, { start_offset: topic.firstOffset });
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.nextOffset), 0);
    head.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200).end(Buffer.concat([head, ...records]));
  }

  private topicOf(name: string): Topic {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const topic = Topic.create();
    this.topics.set(name, topic);
    return topic;
  }
}

function sendNewest(topic: Topic, response: ServerResponse): void {
  const newest = new Map<string, { offset: number; value: Buffer }>();
  topic.records.forEach(({ key, value, bytes }, offset) => {
    if (bytes !== undefined) return;
    if (value === undefined) newest.delete(key);
    else newest.set(key, { offset, value });
  });
  // By key: a page says nothing of the order in which records were written.
  const entries = [...newest]
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([key, { offset, value }]) => ({
      key,
      data: value.toString("base64"),
      offset,
    }));
  const { nextOffset } = topic;
  sendJson(response, 200, { entries, has_more: false, end_offset: nextOffset });
}

/** One keyed record. */
async function takeAppended(
  topic: Topic,
  request: IncomingMessage,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const record = Buffer.concat(parts).subarray(LENGTH_BYTES);
  const valueStart = 1 + record.readUInt8(0);
  const key = record.toString("utf8", 1, valueStart);
  const value = record.subarray(valueStart);
  topic.append({ key, value: value.length > 0 ? value : undefined });
}

function encodeRecord({ key, value, bytes }: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const record =
    bytes ??
    Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value ?? Buffer.alloc(0),
    ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
