/**
 * HTTP servers for readiness, metrics and operators. They expect a few clients
 * with short requests; whoever else reaches them can hold little.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { ConnectionGuard } from "../intake/connection-guard.js";
import { SMALL_LISTENER_CONNECTIONS } from "../intake/descriptors.js";
import type { Emit, Measurements } from "../internal.js";

export interface SmallServerOptions {
  /** Name of the listener in events and metrics. */
  readonly listener: string;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
}

const MAXIMUM_HEAD_BYTES = 8192;
const HEAD_TIMEOUT_MS = 3000;
const REQUEST_TIMEOUT_MS = 5000;
const CHECK_INTERVAL_MS = 1000;
const MAXIMUM_OPEN_REQUESTS = 2;

export function createSmallServer(options: SmallServerOptions): Server {
  const guard = ConnectionGuard.create({
    ...options,
    maximumConnections: () => SMALL_LISTENER_CONNECTIONS,
    maximumOpenRequests: MAXIMUM_OPEN_REQUESTS,
    now: () => performance.now(),
  });
  const server = createServer(
    {
      maxHeaderSize: MAXIMUM_HEAD_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    (request, response) => {
      if (guard.admit(request, response)) options.handle(request, response);
    },
  );
  guard.protect(server);
  return server;
}
