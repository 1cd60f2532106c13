/**
 * In-memory simulation of the platform's append-only log service with offsets,
 * long polling, retention and fault injection.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  sendJson,
  readBody,
  startServer,
  type StandInCall,
  type StandInServer,
} from "./http.js";

export interface LogFaults {
  /** Answers every call with 503. */
  outage: boolean;
  /** Delay before every call is handled. */
  slowMs: number;
  /** Number of upcoming appends that are applied but get no response. */
  dropAppendResponses: number;
  /** Number of upcoming appends to reject without effect. */
  refuseAppends: number;
  /** Holds appends until this many are pending, then applies them in order. */
  holdAppends: number;
}

export interface LogStandIn extends StandInServer {
  readonly faults: LogFaults;
  /** Deletes the records of a stream below an offset. */
  readonly trim: (stream: string, before: number) => void;
  /** Data of all retained records of a stream, decoded as text. */
  readonly recordTexts: (stream: string) => readonly string[];
  readonly appends: () => number;
  /** Number of reads, including those still waiting for a record. */
  readonly reads: () => number;
}

interface StoredRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly data: string;
}

interface Stream {
  startOffset: number;
  records: StoredRecord[];
  readonly waiters: Set<() => void>;
}

interface LogState {
  readonly streams: Map<string, Stream>;
  readonly faults: LogFaults;
  readonly heldAppends: (() => void)[];
  appends: number;
  reads: number;
}

export async function startLog(port = 0): Promise<LogStandIn> {
  const state: LogState = {
    streams: new Map(),
    faults: {
      outage: false,
      slowMs: 0,
      dropAppendResponses: 0,
      refuseAppends: 0,
      holdAppends: 0,
    },
    heldAppends: [],
    appends: 0,
    reads: 0,
  };
  const server = await startServer((call) => handleCall(state, call), port);
  return {
    ...server,
    faults: state.faults,
    appends: () => state.appends,
    reads: () => state.reads,
    trim: (name, before) => {
      const stream = getOrCreateStream(state, name);
      stream.records = stream.records.filter(({ offset }) => offset >= before);
      stream.startOffset = Math.max(stream.startOffset, before);
    },
    recordTexts: (name) =>
      getOrCreateStream(state, name).records.map(({ data }) =>
        Buffer.from(data, "base64").toString(),
      ),
  };
}

async function handleCall(state: LogState, call: StandInCall): Promise<void> {
  const { faults } = state;
  const body = await readBody(call.request);
  if (faults.slowMs > 0) await sleep(faults.slowMs);
  if (faults.outage) {
    sendJson(call.response, { error: "outage" }, 503);
    return;
  }
  const stream = getOrCreateStream(
    state,
    call.url.pathname.replace("/streams/", ""),
  );
  if (call.method === "POST") {
    await holdForBatch(state);
    append(state, stream, body.toString(), call);
  } else await read(state, stream, call);
}

async function holdForBatch({ faults, heldAppends }: LogState): Promise<void> {
  if (faults.holdAppends === 0) return;
  const released = new Promise<void>((resolve) => {
    heldAppends.push(resolve);
  });
  if (heldAppends.length >= faults.holdAppends) {
    faults.holdAppends = 0;
    for (const proceed of heldAppends.splice(0)) proceed();
  }
  await released;
}

function append(
  state: LogState,
  stream: Stream,
  body: string,
  { response }: StandInCall,
): void {
  const { faults } = state;
  if (faults.refuseAppends > 0) {
    faults.refuseAppends -= 1;
    sendJson(response, { error: "refused" }, 503);
    return;
  }
  const { records } = JSON.parse(body) as { records: string[] };
  const offset = nextOffset(stream);
  for (const [index, data] of records.entries()) {
    const appendedAtMs = Date.now();
    stream.records.push({ offset: offset + index, appendedAtMs, data });
  }
  state.appends += 1;
  for (const wake of stream.waiters) wake();
  if (faults.dropAppendResponses > 0) {
    faults.dropAppendResponses -= 1;
    response.destroy();
    return;
  }
  sendJson(response, { offset });
}

async function read(
  state: LogState,
  stream: Stream,
  { url, response }: StandInCall,
): Promise<void> {
  state.reads += 1;
  const parameter = (name: string): number =>
    Number(url.searchParams.get(name) ?? 0);
  const from = parameter("from");
  if (from >= nextOffset(stream)) {
    await waitForRecord(stream, parameter("waitMs"));
  }
  if (state.faults.outage) {
    sendJson(response, { error: "outage" }, 503);
    return;
  }
  const { startOffset } = stream;
  if (from < startOffset) {
    sendJson(response, { startOffset }, 410);
    return;
  }
  const first = from - startOffset;
  const records = stream.records.slice(first, first + parameter("limit"));
  sendJson(response, {
    startOffset,
    nextOffset: nextOffset(stream),
    records,
  });
}

async function waitForRecord(stream: Stream, waitMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    const wake = (): void => {
      clearTimeout(timer);
      stream.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stream.waiters.add(wake);
  });
}

function getOrCreateStream(state: LogState, name: string): Stream {
  const existing = state.streams.get(name);
  if (existing !== undefined) return existing;
  const stream = {
    startOffset: 0,
    records: [],
    waiters: new Set<() => void>(),
  };
  state.streams.set(name, stream);
  return stream;
}

function nextOffset(stream: Stream): number {
  return stream.startOffset + stream.records.length;
}
