/**
 * HTTP server for operators: metrics, health, readiness, status, events and
 * graceful shutdown. Its address must never be reachable by callers.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { Registry, collectDefaultMetrics } from "prom-client";
import type { EventLog } from "./event-log.js";
import type { ListenSettings } from "./settings.js";
import { listen, type ListeningServer } from "./listening.js";

export interface OperatorsSource {
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

type Handler = (
  url: URL,
  response: ServerResponse,
  source: OperatorsSource,
) => Promise<void> | void;

const handlers: Readonly<Partial<Record<string, Handler>>> = {
  "GET /metrics": async (_url, response, { metrics }) => {
    await sendMetrics(response, metrics);
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
  const server = createServer((request, response) => {
    void handleRequest(request, response, source);
  });
  return listen(server, settings);
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  source: OperatorsSource,
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
  metrics: Registry,
): Promise<ListeningServer> {
  collectDefaultMetrics({ register: metrics });
  const server = createServer((request, response) => {
    if (request.url === METRICS_PATH) void sendMetrics(response, metrics);
    else response.writeHead(HTTP_NOT_FOUND).end();
  });
  return listen(server, settings);
}

async function sendMetrics(
  response: ServerResponse,
  metrics: Registry,
): Promise<void> {
  response.setHeader("content-type", metrics.contentType);
  response.end(await metrics.metrics());
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
