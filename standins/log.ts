/**
 * Stand-in of the platform's append-only log service, in memory: offsets,
 * long poll, retention, and its faults.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerJson,
  readBody,
  startServer,
  type StandInCall,
  type StandInServer,
} from "./http.js";

export interface LogFaults {
  /** Every call is answered 503. */
  outage: boolean;
  /** Added before every answer. */
  slowMs: number;
  /** So many appends take effect and get no answer. */
  loseAppendAnswers: number;
  /** So many appends are refused without effect. */
  refuseAppends: number;
  /** Appends wait until so many have come, then all take effect in a row. */
  gatherAppends: number;
}

export interface LogStandIn extends StandInServer {
  readonly faults: LogFaults;
  /** Drops the records of a stream before an offset. */
  readonly trim: (stream: string, before: number) => void;
  /** All kept data of a stream, as text. */
  readonly texts: (stream: string) => readonly string[];
  readonly appends: () => number;
  /** Reads that were answered or wait for a record. */
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
  readonly gathered: (() => void)[];
  appends: number;
  reads: number;
}

export async function startLog(port = 0): Promise<LogStandIn> {
  const state: LogState = {
    streams: new Map(),
    faults: {
      outage: false,
      slowMs: 0,
      loseAppendAnswers: 0,
      refuseAppends: 0,
      gatherAppends: 0,
    },
    gathered: [],
    appends: 0,
    reads: 0,
  };
  const server = await startServer((call) => answer(state, call), port);
  return {
    ...server,
    faults: state.faults,
    appends: () => state.appends,
    reads: () => state.reads,
    trim: (name, before) => {
      const stream = streamOf(state, name);
      stream.records = stream.records.filter(({ offset }) => offset >= before);
      stream.startOffset = Math.max(stream.startOffset, before);
    },
    texts: (name) =>
      streamOf(state, name).records.map(({ data }) =>
        Buffer.from(data, "base64").toString(),
      ),
  };
}

async function answer(state: LogState, call: StandInCall): Promise<void> {
  const { faults } = state;
  const body = await readBody(call.request);
  if (faults.slowMs > 0) await sleep(faults.slowMs);
  if (faults.outage) {
    answerJson(call.response, { error: "outage" }, 503);
    return;
  }
  const stream = streamOf(state, call.url.pathname.replace("/streams/", ""));
  if (call.method === "POST") {
    await gather(state);
    append(state, stream, body.toString(), call);
  } else await read(state, stream, call);
}

async function gather({ faults, gathered }: LogState): Promise<void> {
  if (faults.gatherAppends === 0) return;
  const turn = new Promise<void>((resolve) => {
    gathered.push(resolve);
  });
  if (gathered.length >= faults.gatherAppends) {
    faults.gatherAppends = 0;
    for (const proceed of gathered.splice(0)) proceed();
  }
  await turn;
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
    answerJson(response, { error: "refused" }, 503);
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
  if (faults.loseAppendAnswers > 0) {
    faults.loseAppendAnswers -= 1;
    response.destroy();
    return;
  }
  answerJson(response, { offset });
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
    answerJson(response, { error: "outage" }, 503);
    return;
  }
  const { startOffset } = stream;
  if (from < startOffset) {
    answerJson(response, { startOffset }, 410);
    return;
  }
  const first = from - startOffset;
  const records = stream.records.slice(first, first + parameter("limit"));
  answerJson(response, {
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

function streamOf(state: LogState, name: string): Stream {
  const known = state.streams.get(name);
  if (known !== undefined) return known;
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
