/**
 * HTTP server for operators: metrics, health, readiness, status, events and
 * graceful shutdown. Its address must never be reachable by callers.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Registry, collectDefaultMetrics } from "prom-client";
import type { Emit, Measurements } from "../internal.js";
import type { EventLog } from "./event-log.js";
import type { ListenSettings } from "./settings.js";
import { listen, type ListeningServer } from "./listening.js";
import { createSmallServer } from "./small-server.js";

export interface OperatorsSource {
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly events: EventLog;
  readonly metrics: Registry;
  readonly isReady: () => boolean;
  /** Any value that JSON can represent. */
  readonly status: () => unknown;
  /** Starts a graceful shutdown. */
  readonly leave: () => void;
}

const METRICS_PATH = "/metrics";
const HTTP_NOT_FOUND = 404;

interface MetricsSource {
  readonly metrics: Registry;
  readonly metricsText: () => Promise<string>;
}

type Handler = (
  url: URL,
  response: ServerResponse,
  source: OperatorsSource & MetricsSource,
) => Promise<void> | void;

const handlers: Readonly<Partial<Record<string, Handler>>> = {
  "GET /metrics": async (_url, response, source) => {
    await sendMetrics(response, source);
  },
  "GET /health": (_url, response) => {
    sendJson(response, 200, { healthy: true });
  },
  "GET /ready": (_url, response, { isReady }) => {
    const ready = isReady();
    sendJson(response, ready ? 200 : 503, { ready });
  },
  "GET /status": (_url, response, { status }) => {
    sendJson(response, 200, status());
  },
  "GET /events": (url, response, { events }) => {
    const value = url.searchParams.get("value");
    const sinceMs = Number(url.searchParams.get("sinceMs") ?? 0);
    const filter = value === null ? { sinceMs } : { sinceMs, value };
    sendJson(response, 200, { events: events.select(filter) });
  },
  "POST /leave": (_url, response, { leave }) => {
    leave();
    sendJson(response, 202, { leaving: true });
  },
};

export async function startOperatorsServer(
  settings: ListenSettings,
  source: OperatorsSource,
): Promise<ListeningServer> {
  collectDefaultMetrics({ register: source.metrics });
  const metricsText = createMetricsText(source.metrics);
  const server = createSmallServer({
    ...source,
    listener: "operators",
    handle: (request, response) => {
      void handleRequest(request, response, { ...source, metricsText });
    },
  });
  return listen(server, settings);
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  source: OperatorsSource & MetricsSource,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://operators");
  const handler = handlers[`${request.method ?? ""} ${url.pathname}`];
  if (handler === undefined) {
    sendJson(response, 404, { error: "unknown path" });
    return;
  }
  await handler(url, response, source);
}

/** Serves only the metrics, for processes operated through the platform. */
export async function startMetricsServer(
  settings: ListenSettings,
  source: Pick<OperatorsSource, "emit" | "measurements" | "metrics">,
): Promise<ListeningServer> {
  const { metrics } = source;
  collectDefaultMetrics({ register: metrics });
  const metricsText = createMetricsText(metrics);
  const server = createSmallServer({
    ...source,
    listener: "metrics",
    handle: (request, response) => {
      if (request.url === METRICS_PATH)
        void sendMetrics(response, { metrics, metricsText });
      else response.writeHead(HTTP_NOT_FOUND).end();
    },
  });
  return listen(server, settings);
}

/** Requests that come while the text is being made share it. */
function createMetricsText(metrics: Registry): () => Promise<string> {
  let pending: Promise<string> | undefined;
  return () => {
    pending ??= metrics.metrics().finally(() => {
      pending = undefined;
    });
    return pending;
  };
}

async function sendMetrics(
  response: ServerResponse,
  { metrics, metricsText }: MetricsSource,
): Promise<void> {
  response.setHeader("content-type", metrics.contentType);
  response.end(await metricsText());
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
