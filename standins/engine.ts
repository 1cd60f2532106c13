/**
 * Stand-in of a model engine (docs/PLATFORM.md): the usual completions
 * interface, streamed and whole, resume and cancel by request id, load reports
 * with a lag and cache events with a lag and gaps.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import {
  EngineRuns,
  wholeBody,
  type EngineLimits,
  type Run,
  type RunOptions,
} from "./engine-runs.js";
import {
  answerJson,
  readBody,
  startServer,
  type StandInCall,
  type StandInServer,
} from "./http.js";

export interface EngineFaults {
  /** Load reports show the state of so long ago. */
  loadLagMs: number;
  /** Cache events appear so much later. */
  cacheLagMs: number;
  /** Every n-th cache event is never shown; 0 shows all. */
  cacheGapEvery: number;
  /** Added to every step, as by a slow machine. */
  slowStepMs: number;
  /** New runs are refused with 503. */
  refuseRuns: boolean;
  /** Connections of so many streams are cut after some pieces. */
  cutStreams: number;
}

export interface EngineOptions {
  readonly port?: number;
  /** Time of one step; 0 steps as fast as the process can. */
  readonly stepMs: number;
  readonly limits?: Partial<EngineLimits>;
  /** False when a group drives the steps of its engines in lock-step. */
  readonly ownSteps?: boolean;
  /** Answers paths that the engine itself doesn't know; false when unknown. */
  readonly extension?: (call: StandInCall) => Promise<boolean>;
}

export interface EngineStandIn extends StandInServer {
  readonly faults: EngineFaults;
  readonly runs: EngineRuns;
  readonly step: () => void;
}

interface Engine {
  readonly runs: EngineRuns;
  readonly faults: EngineFaults;
  readonly loads: { readonly atMs: number; readonly load: object }[];
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
const KEPT_LOADS = 512;
const PIECES_BEFORE_CUT = 3;
const DEFAULT_LIMITS: EngineLimits = {
  batch: 256,
  prefillPerStep: 8192,
  blocks: 4096,
};

export async function startEngine(
  options: EngineOptions,
): Promise<EngineStandIn> {
  const runs = EngineRuns.create({ ...DEFAULT_LIMITS, ...options.limits });
  const faults: EngineFaults = {
    loadLagMs: 0,
    cacheLagMs: 0,
    cacheGapEvery: 0,
    slowStepMs: 0,
    refuseRuns: false,
    cutStreams: 0,
  };
  const engine: Engine = { runs, faults, loads: [] };
  const step = (): void => {
    runs.step();
    engine.loads.push({ atMs: Date.now(), load: runs.load() });
    if (engine.loads.length > KEPT_LOADS) engine.loads.shift();
  };
  const stopSteps =
    options.ownSteps === false
      ? () => undefined
      : driveSteps(step, () => options.stepMs + faults.slowStepMs);
  const server = await startServer(async (call) => {
    if (await answer(engine, call)) return;
    if ((await options.extension?.(call)) === true) return;
    answerJson(call.response, { error: "unknown path" }, 404);
  }, options.port);
  return {
    ...server,
    faults,
    runs,
    step,
    async [Symbol.asyncDispose]() {
      stopSteps();
      await server[Symbol.asyncDispose]();
    },
  };
}

/** Steps at fixed times, catching up where a timer came late. */
function driveSteps(step: () => void, stepMs: () => number): () => void {
  let next = performance.now() + stepMs();
  let stopped = false;
  const tick = (): void => {
    if (stopped) return;
    const now = performance.now();
    if (stepMs() === 0) step();
    else {
      for (; next <= now; next += stepMs()) step();
    }
    if (stepMs() === 0) setImmediate(tick);
    else setTimeout(tick, Math.max(0, next - performance.now()));
  };
  setTimeout(tick, stepMs());
  return () => {
    stopped = true;
  };
}

async function answer(engine: Engine, call: StandInCall): Promise<boolean> {
  const { method, url, response } = call;
  const [, section = "", id = ""] = url.pathname.split("/");
  if (section === "v1" && method === "POST") await start(engine, call);
  else if (section === "requests" && method === "GET") {
    await resume(engine, id, call);
  } else if (section === "requests" && method === "DELETE") {
    answerJson(response, { cancelled: engine.runs.cancel(id) });
  } else if (section === "load") answerJson(response, lateLoad(engine));
  else if (section === "cache-events") {
    answerJson(response, { events: lateCacheEvents(engine, url) });
  } else return false;
  return true;
}

async function start(engine: Engine, call: StandInCall): Promise<void> {
  const { request, response, url } = call;
  const body = JSON.parse(
    (await readBody(request)).toString(),
  ) as CompletionBody;
  if (engine.faults.refuseRuns) {
    answerJson(response, { error: "busy" }, 503);
    return;
  }
  const id = headerOf(call, "x-request-id");
  const known = engine.runs.runs.get(id);
  const run = known ?? engine.runs.start(runOptions(id, url, body, call));
  await send(engine, run, 0, response);
}

function runOptions(
  id: string,
  url: URL,
  body: CompletionBody,
  call: StandInCall,
): RunOptions {
  const chat = url.pathname.endsWith("/chat/completions");
  const messages = body.messages?.map(({ content }) => content) ?? [];
  return {
    id,
    chat,
    prompt: chat ? messages.join("\n") : (body.prompt ?? ""),
    tokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_TOKENS,
    priority: Number(headerOf(call, "x-priority") || 0),
    streamed: body.stream === true,
    model: body.model,
  };
}

async function resume(
  engine: Engine,
  id: string,
  { url, response }: StandInCall,
): Promise<void> {
  const run = engine.runs.runs.get(id);
  if (run === undefined) {
    answerJson(response, { error: "unknown request" }, 404);
    return;
  }
  await send(engine, run, Number(url.searchParams.get("from") ?? 0), response);
}

async function send(
  engine: Engine,
  run: Run,
  from: number,
  response: ServerResponse,
): Promise<void> {
  if (run.streamed) await sendStream(engine, run, from, response);
  else await sendWhole(run, response);
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
    if (run.cancelled || (isCut && index >= PIECES_BEFORE_CUT)) {
      response.destroy();
      return;
    }
    if (run.ended) break;
    await nextChange(run, response);
  }
  response.end("data: [DONE]\n\n");
}

async function sendWhole(run: Run, response: ServerResponse): Promise<void> {
  while (!run.ended && !response.destroyed) await nextChange(run, response);
  if (run.cancelled) {
    response.destroy();
    return;
  }
  response.writeHead(200, { "content-type": "application/json" });
  response.end(wholeBody(run));
}

async function nextChange(run: Run, response: ServerResponse): Promise<void> {
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

function lateLoad({ loads, faults, runs }: Engine): object {
  const now = Date.now();
  const seen = loads.findLast(({ atMs }) => atMs <= now - faults.loadLagMs);
  const { atMs, load } = seen ?? { atMs: now, load: runs.load() };
  return { ...load, ageMs: now - atMs };
}

function lateCacheEvents({ runs, faults }: Engine, url: URL): object {
  const from = Number(url.searchParams.get("from") ?? 0);
  const { cacheGapEvery, cacheLagMs } = faults;
  const shownUntilMs = Date.now() - cacheLagMs;
  return runs.cacheEvents
    .slice(from)
    .filter(({ atMs }) => atMs <= shownUntilMs)
    .filter(
      ({ sequence }) =>
        cacheGapEvery === 0 || (sequence + 1) % cacheGapEvery !== 0,
    );
}

function headerOf({ request }: StandInCall, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}
