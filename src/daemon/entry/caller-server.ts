/**
 * HTTP server of an entry for its callers. Limits on head size, body size, time
 * and connections keep one faulty or hostile caller from blocking the others.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  raise,
  toFailure,
  type ApricotdeckError,
  type Configuration,
} from "../../internal.js";
import type { ConnectionGuard } from "../../intake/connection-guard.js";
import type { RequestMemory } from "../../intake/request-memory.js";
import { sendJson } from "../operators-server.js";
import { createAnswerWriter, sendError } from "./answer-writer.js";
import type {
  CallerConnections,
  CallerExchange,
} from "./caller-connections.js";
import {
  authenticate,
  isProfileAllowed,
  pathOf,
  readCallerRequest,
  type CallerLimits,
} from "./request-reader.js";
import type { AnswerWriter, CallerRequest } from "./caller-request.js";

export interface CallerServerOptions {
  readonly connections: CallerConnections;
  readonly limits: CallerLimits;
  readonly guard: ConnectionGuard;
  readonly memory: RequestMemory;
  /** Throws 1103 before a configuration is in force. */
  readonly configuration: () => Configuration;
  readonly isLeaving: () => boolean;
  readonly serve: (
    callerRequest: CallerRequest,
    writer: AnswerWriter,
  ) => Promise<void>;
}

const MODELS_PATH = "/v1/models";

export function createCallerServer(options: CallerServerOptions): Server {
  const { connections, guard, limits } = options;
  const server = createServer(
    {
      maxHeaderSize: limits.headBytes,
      // Checked by CallerConnections, which also discards what follows.
      requireHostHeader: false,
      headersTimeout: limits.receiveMs,
      requestTimeout: limits.receiveMs,
      connectionsCheckingInterval: Math.min(1000, limits.receiveMs),
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

async function handleRequest(
  exchange: CallerExchange,
  options: CallerServerOptions,
): Promise<void> {
  const { request, response } = exchange;
  using held = options.memory.openUntilClosed(response);
  try {
    if (!held.tryHoldBody(0)) raise(1224);
    if (options.isLeaving()) {
      response.setHeader("connection", "close");
      raise(1213);
    }
    const configuration = options.configuration();
    if (pathOf(request) === MODELS_PATH) {
      sendModels(request, response, configuration);
      return;
    }
    const callerRequest = await readCallerRequest(
      request,
      configuration,
      options.limits,
      held,
    );
    if (exchange.isRefused) return;
    const { id, streamed } = callerRequest;
    const { limits } = options;
    const writer = createAnswerWriter(response, {
      request: id,
      streamed,
      limits,
    });
    await options.serve(callerRequest, writer);
  } catch (error) {
    if (exchange.isRefused) return;
    const refusal = toFailure(error, 1215);
    if (options.guard.closesInsteadOf(refusal, request)) return;
    sendRefusal(exchange, refusal);
  }
}

/** Closes the connection instead of waiting for the unread rest of a body. */
function sendRefusal(
  { request, response, refuseLater }: CallerExchange,
  error: ApricotdeckError,
): void {
  if (!request.complete) {
    response.setHeader("connection", "close");
    refuseLater();
  }
  sendError(response, error, error.entry.status === 503 ? 1000 : 0);
}

function sendModels(
  request: IncomingMessage,
  response: ServerResponse,
  configuration: Configuration,
): void {
  if (request.method !== "GET") raise(1208);
  const account = authenticate(request, configuration);
  const models = configuration.profiles
    .filter((profile) => isProfileAllowed(profile, account))
    .flatMap(({ target }) => (target.kind === "model" ? [target.model] : []));
  const data = [...new Set(models)].map((id) => ({
    id,
    object: "model",
    created: 0,
    owned_by: "apricotdeck",
  }));
  sendJson(response, 200, { object: "list", data });
}
