/**
 * Simulates the part of the platform's store that the direct path uses: keyed
 * topics with their newest records and history. Simulated faults are outages,
 * unresponsive connections, a trimmed history and a restore from a snapshot.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { headerNames, paths } from "../platform/names.js";
import { listen, type ListeningServer } from "../src/daemon/listening.js";

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  /** Replaces key and value in the history; excluded from newest records. */
  readonly rawBytes?: Buffer;
}

/** How the store currently responds: normally, with 503, or not at all. */
export type StoreAvailability = "well" | "refusing" | "silent";

const HTTP_GONE = 410;
const HTTP_UNAVAILABLE = 503;
const MAXIMUM_WAIT_MS = 30_000;
const LENGTH_PREFIX_BYTES = 4;

class Topic {
  readonly records: StoredRecord[] = [];
  firstOffset = 0;
  private readonly waiters = new Set<() => void>();

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): Topic {
    return new Topic();
  }

  /** Discards the records from `offset` on; their offsets are reused. */
  truncateTo(offset: number): void {
    this.records.length = Math.min(this.records.length, offset);
    this.firstOffset = Math.min(this.firstOffset, offset);
  }

  append(record: StoredRecord): void {
    this.records.push(record);
    for (const wake of this.waiters) wake();
  }

  get nextOffset(): number {
    return this.records.length;
  }

  async waitForOffsetAfter(offset: number, waitMs: number): Promise<void> {
    if (this.nextOffset > offset || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.waiters.add(done);
    });
  }
}

/** Snapshot of the store: the next offset of each topic by topic name. */
export type StoreSnapshot = ReadonlyMap<string, number>;

export class KeyedStore implements AsyncDisposable {
  availability: StoreAvailability = "well";
  /** Incremented by each restore from a snapshot. */
  era = 1;
  /** Call count by path, including refused calls. */
  readonly calls = new Map<string, number>();
  private readonly topics = new Map<string, Topic>();
  private listening: ListeningServer | undefined;

  private constructor() {
    // Instances are created by `create`.
  }

  static async create(): Promise<KeyedStore> {
    const store = new KeyedStore();
    const server = createServer((request, response) => {
      void store.handleRequest(request, response);
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
    this.getOrCreateTopic(topic).append({ key, value });
  }

  /** Appends raw bytes without the key framing of a regular record. */
  putRawRecord(topic: string, bytes: Buffer): void {
    this.getOrCreateTopic(topic).append({
      key: "",
      value: undefined,
      rawBytes: bytes,
    });
  }

  appendTombstone(topic: string, key: string): void {
    this.getOrCreateTopic(topic).append({ key, value: undefined });
  }

  /** Trims the topic's history; the newest record of each key remains. */
  trimHistory(topic: string): void {
    const trimmed = this.getOrCreateTopic(topic);
    trimmed.firstOffset = trimmed.nextOffset;
  }

  takeSnapshot(): StoreSnapshot {
    const topics = [...this.topics];
    return new Map(topics.map(([name, { nextOffset }]) => [name, nextOffset]));
  }

  /** Restores a snapshot; everything written after it is lost. */
  restoreSnapshot(snapshot: StoreSnapshot): void {
    this.era += 1;
    for (const [name, topic] of this.topics)
      topic.truncateTo(snapshot.get(name) ?? 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.listening?.[Symbol.asyncDispose]();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    if (this.availability === "silent") return;
    response.setHeader(headerNames.storeEra, this.era);
    if (this.availability === "refusing") {
      response.writeHead(HTTP_UNAVAILABLE).end();
      return;
    }
    const topic = this.getOrCreateTopic(url.searchParams.get("topic") ?? "");
    if (url.pathname === paths.newest) sendNewest(topic, response);
    else if (url.pathname === paths.append) {
      await appendFromRequest(topic, request);
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
    const waitMs = Math.min(Number(query.get("wait_ms")), MAXIMUM_WAIT_MS);
    await topic.waitForOffsetAfter(from, waitMs);
    response.setHeader(headerNames.storeEra, this.era);
    if (from < topic.firstOffset || from > topic.nextOffset) {
      sendJson(response, HTTP_GONE, { start_offset: topic.firstOffset });
      return;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.nextOffset), 0);
    header.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200).end(Buffer.concat([header, ...records]));
  }

  private getOrCreateTopic(name: string): Topic {
    const existing = this.topics.get(name);
    if (existing !== undefined) return existing;
    const topic = Topic.create();
    this.topics.set(name, topic);
    return topic;
  }
}

function sendNewest(topic: Topic, response: ServerResponse): void {
  const newest = new Map<string, { offset: number; value: Buffer }>();
  topic.records.forEach(({ key, value, rawBytes }, offset) => {
    if (rawBytes !== undefined) return;
    if (value === undefined) newest.delete(key);
    else newest.set(key, { offset, value });
  });
  // Sorted by key, since a page doesn't reflect the order of writes.
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

/** Appends the single keyed record in the request body. */
async function appendFromRequest(
  topic: Topic,
  request: IncomingMessage,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const record = Buffer.concat(parts).subarray(LENGTH_PREFIX_BYTES);
  const valueStart = 1 + record.readUInt8(0);
  const key = record.toString("utf8", 1, valueStart);
  const value = record.subarray(valueStart);
  topic.append({ key, value: value.length > 0 ? value : undefined });
}

function encodeRecord({ key, value, rawBytes }: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const record =
    rawBytes ??
    Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value ?? Buffer.alloc(0),
    ]);
  const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
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
