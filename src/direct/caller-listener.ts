/**
 * HTTP server for callers: reads each request in full, checks it against the
 * current configuration and passes it to the forwarder. Requests that can't be
 * served are answered with an error at once.
 */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  raise,
  toFailure,
  type ApricotdeckError,
  type Random,
} from "../internal.js";
import {
  CallerConnections,
  type CallerExchange,
} from "../daemon/entry/caller-connections.js";
import { readBody } from "../daemon/entry/request-body.js";
import type { ConnectionGuard } from "../intake/connection-guard.js";
import type { HeldRequest, RequestMemory } from "../intake/request-memory.js";
import { chooseService, type RouteTable } from "../routing/route-table.js";
import type { CallerBounds, Route } from "../routing/types.js";
import { endToEndHeaders } from "./end-to-end-headers.js";
import type { DirectCall, CallFields, HeaderCodec } from "./types.js";

export interface CallerListenerOptions {
  readonly codec: HeaderCodec;
  readonly random: Random;
  /** Undefined until a configuration has been loaded. */
  readonly routes: () => RouteTable | undefined;
  /**
   * Whether the entry is shutting down: connections are closed after their
   * response.
   */
  readonly isLeaving: () => boolean;
  /** Whether new requests are refused. */
  readonly isClosed: () => boolean;
  readonly guard: ConnectionGuard;
  readonly memory: RequestMemory;
  readonly serve: (
    call: DirectCall,
    response: ServerResponse,
    held: HeldRequest,
  ) => Promise<void>;
  readonly fail: (
    response: ServerResponse,
    error: ApricotdeckError,
    retryAfterMs: number,
  ) => void;
}

/**
 * Header limit of the HTTP parser, bytes. The parser is created before the
 * configured limit is known; that limit is checked on each request.
 */
const MAXIMUM_PARSER_HEADER_BYTES = 64 * 1024;
/**
 * Timeouts for reading headers and for idle connections until a configuration
 * sets them, ms.
 */
const DEFAULT_HEADERS_TIMEOUT_MS = 3000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/**
 * Retry delay for callers while the entry has no configuration; one usually
 * arrives within this time, ms.
 */
const NOT_READY_RETRY_AFTER_MS = 500;

export function createCallerListener(options: CallerListenerOptions): Server {
  const { guard } = options;
  const connections = CallerConnections.create();
  const server = createServer(
    {
      maxHeaderSize: MAXIMUM_PARSER_HEADER_BYTES,
      // Checked by CallerConnections, which also discards what follows.
      requireHostHeader: false,
      headersTimeout: DEFAULT_HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: 1000,
      noDelay: true,
    },
    (request, response) => {
      if (!guard.admit(request, response)) return;
      const exchange = connections.accept(request, response);
      if (exchange !== undefined) void handleRequest(exchange, options);
    },
  );
  connections.protect(server);
  guard.protect(server);
  server.on("clientError", (error, socket: Socket) => {
    connections.refuse(error, socket);
  });
  return server;
}

/** Applies the configured timeouts to the server. */
export function applyBounds(server: Server, bounds: CallerBounds): void {
  server.headersTimeout = bounds.headMs;
  server.keepAliveTimeout = bounds.idleMs;
}

async function handleRequest(
  exchange: CallerExchange,
  options: CallerListenerOptions,
): Promise<void> {
  const { request, response } = exchange;
  const arrivedAtMs = performance.now();
  if (options.isLeaving()) response.setHeader("connection", "close");
  using held = options.memory.openUntilClosed(response);
  try {
    if (!held.tryHoldBody(0)) raise(1224);
    const call = await readCall(request, held, options, arrivedAtMs);
    if (exchange.isRefused) return;
    await options.serve(call, response, held);
  } catch (error) {
    if (exchange.isRefused) return;
    const refusal = toFailure(error, 1215);
    if (options.guard.closesInsteadOf(refusal, request)) return;
    if (!request.complete) {
      response.setHeader("connection", "close");
      exchange.refuseLater();
    }
    const retryAfterMs =
      refusal.entry.status === 503 ? NOT_READY_RETRY_AFTER_MS : 0;
    options.fail(response, refusal, retryAfterMs);
  }
}

/** Throws 1103, 1201, 1202, 1205 to 1207, 1209, 1213, 1218 or 1224. */
async function readCall(
  request: IncomingMessage,
  held: HeldRequest,
  options: CallerListenerOptions,
  arrivedAtMs: number,
): Promise<DirectCall> {
  const routes = options.routes();
  if (routes === undefined) return raise(1103);
  const { bounds } = routes.configuration;
  checkHeaderSize(request, bounds);
  const body = await readBody(request, {
    limitBytes: bounds.bodyBytes,
    held,
    timeoutMs: () => bodyTimeoutOf(request, routes, options.codec),
  });
  if (options.isClosed()) raise(1213);
  // Reading the body can take long, so the configuration that applies now is
  // used.
  return resolveCall(request, body, options, arrivedAtMs);
}

function resolveCall(
  request: IncomingMessage,
  body: Buffer,
  options: CallerListenerOptions,
  arrivedAtMs: number,
): DirectCall {
  const routes = options.routes() ?? raise(1103);
  const target = request.url ?? "/";
  const path = pathOf(target);
  const route = routes.findRoute(hostnameOf(request.headers), path);
  if (route === undefined) return raise(1207, { path: path.slice(0, 100) });
  const fields = options.codec.readCall(request.headers);
  const account = accountOf(routes, route, fields);
  const service = chooseService(route.shares, options.random);
  if (service === undefined) return raise(1209, { pool: route.name });
  return {
    id: fields.attemptId ?? `unnamed-${arrivedAtMs}`,
    method: request.method ?? "GET",
    target,
    headers: endToEndHeaders(request.rawHeaders),
    body,
    fields,
    route,
    version: routes.version,
    service,
    account: account?.name,
    priority: account?.priority ?? route.priority,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + timeoutOf(route, fields),
  };
}

/** Host without the port, as in the route table. */
function hostnameOf({ host = "" }: IncomingHttpHeaders): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function accountOf(
  routes: RouteTable,
  route: Route,
  { credential }: CallFields,
): { readonly name: string; readonly priority: number } | undefined {
  if (!routes.needsCredentials) return undefined;
  const account =
    credential === undefined ? undefined : routes.findAccount(credential);
  if (account === undefined) {
    return route.isPublic ? undefined : raise(1202);
  }
  return { name: account.name, priority: account.priority ?? route.priority };
}

/** A body that takes longer than its request may comes too late, ms. */
function bodyTimeoutOf(
  { headers, url = "/" }: IncomingMessage,
  routes: RouteTable,
  codec: HeaderCodec,
): number {
  const route = routes.findRoute(hostnameOf(headers), pathOf(url));
  return route === undefined
    ? routes.configuration.bounds.idleMs
    : timeoutOf(route, codec.readCall(headers));
}

function pathOf(target: string): string {
  return target.split("?", 1).at(0) ?? "/";
}

function timeoutOf({ timeoutMs }: Route, { deadlineMs }: CallFields): number {
  return Math.min(timeoutMs, deadlineMs ?? Number.POSITIVE_INFINITY);
}

function checkHeaderSize(request: IncomingMessage, bounds: CallerBounds): void {
  const size = request.rawHeaders.reduce(
    (total, text) => total + text.length + 2,
    request.url?.length ?? 0,
  );
  if (size > bounds.headBytes) raise(1205, { limit: bounds.headBytes });
}
