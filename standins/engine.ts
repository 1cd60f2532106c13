/**
 * Simulates a model engine as docs/PLATFORM.md describes it: the completions
 * API with and without streaming, resume and cancel by request id, delayed load
 * reports, and cache events that are delayed or missing.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { EngineRest } from "./engine-rest.js";
import {
  EngineRuns,
  completionBody,
  type EngineLimits,
  type Run,
  type RunOptions,
} from "./engine-runs.js";
import {
  sendJson,
  readBody,
  startServer,
  type StandInCall,
  type StandInServer,
} from "./http.js";

export interface EngineFaults {
  /** Age of the state that load reports show. */
  loadLagMs: number;
  /** Delay before a cache event is visible. */
  cacheLagMs: number;
  /** Hides every n-th cache event; 0 hides none. */
  dropCacheEventEvery: number;
  /** Added to the duration of every step, to simulate a slow machine. */
  slowStepMs: number;
  /** Answers requests to start a run with 503. */
  refuseRuns: boolean;
  /** Number of upcoming streams to cut after `PIECES_BEFORE_CUT` pieces. */
  cutStreams: number;
}

export interface EngineOptions {
  readonly port?: number;
  /** Duration of a step; 0 runs steps back to back. */
  readonly stepMs: number;
  readonly limits?: Partial<EngineLimits>;
  /** False if an engine group runs the steps of its engines in lockstep. */
  readonly stepsOnTimer?: boolean;
  /** Handles other paths; resolves with false if it doesn't know the path. */
  readonly extension?: (call: StandInCall) => Promise<boolean>;
}

export interface EngineStandIn extends StandInServer {
  readonly faults: EngineFaults;
  readonly runs: EngineRuns;
  readonly rest: EngineRest;
  readonly step: () => void;
}

interface Engine {
  readonly runs: EngineRuns;
  readonly faults: EngineFaults;
  readonly rest: EngineRest;
  readonly loadSamples: { readonly atMs: number; readonly load: object }[];
}

interface CompletionBody {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly prompt?: string;
  readonly messages?: readonly { readonly content: string }[];
}

const DEFAULT_TOKENS = 16;
const MAXIMUM_LOAD_SAMPLES = 512;
const PIECES_BEFORE_CUT = 3;
const DEFAULT_LIMITS: EngineLimits = {
  batchSize: 256,
  prefillTokensPerStep: 8192,
  cacheBlocks: 4096,
};

export async function startEngine(
  options: EngineOptions,
): Promise<EngineStandIn> {
  const runs = EngineRuns.create({ ...DEFAULT_LIMITS, ...options.limits });
  const faults: EngineFaults = {
    loadLagMs: 0,
    cacheLagMs: 0,
    dropCacheEventEvery: 0,
    slowStepMs: 0,
    refuseRuns: false,
    cutStreams: 0,
  };
  const rest = EngineRest.create();
  const engine: Engine = { runs, faults, rest, loadSamples: [] };
  const step = (): void => {
    runs.step();
    engine.loadSamples.push({ atMs: Date.now(), load: runs.load() });
    if (engine.loadSamples.length > MAXIMUM_LOAD_SAMPLES)
      engine.loadSamples.shift();
  };
  const stopSteps =
    options.stepsOnTimer === false
      ? () => undefined
      : startStepTimer(step, () => options.stepMs + faults.slowStepMs);
  const server = await startServer(async (call) => {
    if (await handleCall(engine, call)) return;
    if ((await options.extension?.(call)) === true) return;
    sendJson(call.response, { error: "unknown path" }, 404);
  }, options.port);
  return {
    ...server,
    faults,
    runs,
    rest,
    step,
    async [Symbol.asyncDispose]() {
      stopSteps();
      await server[Symbol.asyncDispose]();
    },
  };
}

/** Runs steps at a fixed rate; catches up after a late timer. */
function startStepTimer(step: () => void, stepMs: () => number): () => void {
  let nextStepAtMs = performance.now() + stepMs();
  let stopped = false;
  const tick = (): void => {
    if (stopped) return;
    const nowMs = performance.now();
    if (stepMs() === 0) step();
    else {
      for (; nextStepAtMs <= nowMs; nextStepAtMs += stepMs()) step();
    }
    if (stepMs() === 0) setImmediate(tick);
    else setTimeout(tick, Math.max(0, nextStepAtMs - performance.now()));
  };
  setTimeout(tick, stepMs());
  return () => {
    stopped = true;
  };
}

async function handleCall(engine: Engine, call: StandInCall): Promise<boolean> {
  const { method, url, response } = call;
  const [, section = "", id = ""] = url.pathname.split("/");
  if (section === "v1" && method === "POST") await startRun(engine, call);
  else if (section === "requests" && method === "GET") {
    await resumeRun(engine, id, call);
  } else if (section === "requests" && method === "DELETE") {
    sendJson(response, { cancelled: engine.runs.cancel(id) });
  } else if (section === "load") sendJson(response, delayedLoad(engine));
  else if (section === "cache-events") {
    sendJson(response, { events: delayedCacheEvents(engine, url) });
  } else return false;
  return true;
}

async function startRun(engine: Engine, call: StandInCall): Promise<void> {
  const { request, response, url } = call;
  const body = JSON.parse(
    (await readBody(request)).toString(),
  ) as CompletionBody;
  if (engine.rest.tryRefuse(response)) return;
  if (engine.faults.refuseRuns) {
    sendJson(response, { error: "busy" }, 503);
    return;
  }
  const id = readHeader(call, "x-request-id");
  const existing = engine.runs.runs.get(id);
  const run = existing ?? engine.runs.start(runOptions(id, url, body, call));
  await sendRun(engine, run, 0, response);
}

function runOptions(
  id: string,
  url: URL,
  body: CompletionBody,
  call: StandInCall,
): RunOptions {
  const isChat = url.pathname.endsWith("/chat/completions");
  const messages = body.messages?.map(({ content }) => content) ?? [];
  return {
    id,
    isChat,
    prompt: isChat ? messages.join("\n") : (body.prompt ?? ""),
    tokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_TOKENS,
    priority: Number(readHeader(call, "x-priority") || 0),
    streamed: body.stream === true,
    model: body.model,
  };
}

async function resumeRun(
  engine: Engine,
  id: string,
  { url, response }: StandInCall,
): Promise<void> {
  const run = engine.runs.runs.get(id);
  if (run === undefined) {
    sendJson(response, { error: "unknown request" }, 404);
    return;
  }
  await sendRun(
    engine,
    run,
    Number(url.searchParams.get("from") ?? 0),
    response,
  );
}

async function sendRun(
  engine: Engine,
  run: Run,
  from: number,
  response: ServerResponse,
): Promise<void> {
  if (run.streamed) await sendStream(engine, run, from, response);
  else await sendCompletion(run, response);
}

async function sendStream(
  engine: Engine,
  run: Run,
  from: number,
  response: ServerResponse,
): Promise<void> {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  const isCut = engine.faults.cutStreams > 0;
  if (isCut) engine.faults.cutStreams -= 1;
  let index = from;
  while (!response.destroyed) {
    const events = run.pieces.slice(index).map((piece) => `data: ${piece}\n\n`);
    index += events.length;
    if (events.length > 0) response.write(events.join(""));
    if (run.isCancelled || (isCut && index >= PIECES_BEFORE_CUT)) {
      response.destroy();
      return;
    }
    if (run.hasEnded) break;
    await waitForChange(run, response);
  }
  response.end("data: [DONE]\n\n");
}

async function sendCompletion(
  run: Run,
  response: ServerResponse,
): Promise<void> {
  while (!run.hasEnded && !response.destroyed)
    await waitForChange(run, response);
  if (run.isCancelled) {
    response.destroy();
    return;
  }
  response.writeHead(200, { "content-type": "application/json" });
  response.end(completionBody(run));
}

async function waitForChange(
  run: Run,
  response: ServerResponse,
): Promise<void> {
  const abort = new AbortController();
  const changed = new Promise<void>((resolve) => {
    const listener = (): void => {
      run.listeners.delete(listener);
      resolve();
    };
    run.listeners.add(listener);
  });
  const closed = once(response, "close", { signal: abort.signal }).catch(
    () => undefined,
  );
  await Promise.race([changed, closed]);
  abort.abort();
}

function delayedLoad({ loadSamples, faults, runs }: Engine): object {
  const nowMs = Date.now();
  const sample = loadSamples.findLast(
    ({ atMs }) => atMs <= nowMs - faults.loadLagMs,
  );
  const { atMs, load } = sample ?? { atMs: nowMs, load: runs.load() };
  return { ...load, ageMs: nowMs - atMs };
}

function delayedCacheEvents({ runs, faults }: Engine, url: URL): object {
  const from = Number(url.searchParams.get("from") ?? 0);
  const { dropCacheEventEvery, cacheLagMs } = faults;
  const visibleUntilMs = Date.now() - cacheLagMs;
  return runs.cacheEvents
    .slice(from)
    .filter(({ atMs }) => atMs <= visibleUntilMs)
    .filter(
      ({ sequence }) =>
        dropCacheEventEvery === 0 || (sequence + 1) % dropCacheEventEvery !== 0,
    );
}

function readHeader({ request }: StandInCall, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}
