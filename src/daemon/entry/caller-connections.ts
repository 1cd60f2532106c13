/**
 * Connections of callers, for the listeners of both paths.
 *
 * Input that Node's HTTP parser rejects, or that takes too long, is refused
 * together with its connection: the refusal says that the request hasn't been
 * run, so nothing that arrives later on that connection may run.
 *
 * A connection is idle once everything that was read from it has been answered
 * and the answers have been sent. Only idle ones are closed during a shutdown.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { unreadableAnswer, type ClientError } from "./unreadable-request.js";

/**
 * Time for which input on a refused connection is discarded, ms. Closing a
 * connection with unread input resets it, and the caller might lose the refusal.
 */
export const REFUSED_LINGER_MS = 1000;

/** A request on a connection, and the response to it. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the request was refused while its body was being read. */
  isRefused: boolean;
  /**
   * The request is answered before its end was read: no later one on its
   * connection is accepted.
   */
  readonly refuseLater: () => void;
}

export class CallerConnections {
  private readonly openExchanges = new Map<Socket, Set<CallerExchange>>();
  /** Bytes that had been read of each connection when it became idle. */
  private readonly idle = new Map<Socket, number>();
  private readonly refused = new WeakSet<Socket>();

  private constructor() {
    // Use `create`.
  }

  static create(): CallerConnections {
    return new CallerConnections();
  }

  /** Whether answers are awaited or being sent. */
  get hasOpenExchanges(): boolean {
    return this.openExchanges.size > 0;
  }

  /**
   * Keeps the server from closing connections on which an answer is still being
   * sent: Node.js counts them as idle once the answer is complete.
   */
  protect(server: Server): void {
    server.closeIdleConnections = () => {
      this.closeIdle();
    };
  }

  /**
   * Returns undefined, and discards the request, if its connection was refused
   * or closes after an earlier response, so that no answer could be sent.
   */
  accept(
    request: IncomingMessage,
    response: ServerResponse,
  ): CallerExchange | undefined {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const { socket } = request;
    if (isHostMissing(request)) this.refuse(new MissingHostError(), socket);
    if (this.takesNoMore(socket)) {
      request.resume();
      return undefined;
    }
    const exchange: CallerExchange = {
      request,
      response,
      isRefused: false,
      refuseLater: () => this.refused.add(socket),
    };
    this.open(exchange);
    return exchange;
  }

  /**
   * Handles `clientError`: sends the refusal and ends the connection. Answers to
   * requests that were read before are sent first; a request whose body was
   * being read is dropped.
   */
  refuse(error: ClientError, socket: Socket): void {
    if (error.code === "ECONNRESET") socket.destroy();
    // A connection that is no longer writable closes after its last answer.
    if (!socket.writable || this.refused.has(socket)) return;
    this.refused.add(socket);
    const exchanges = [...(this.openExchanges.get(socket) ?? [])];
    for (const exchange of exchanges) {
      exchange.isRefused = !exchange.request.complete;
    }
    const earlierAnswers = exchanges
      .filter(({ isRefused }) => !isRefused)
      .map(({ response }) => closed(response));
    void Promise.all(earlierAnswers).then(() => {
      if (socket.writable) endWith(socket, unreadableAnswer(error));
    });
  }

  private open(exchange: CallerExchange): void {
    const { request, response } = exchange;
    const { socket } = request;
    const exchanges = this.exchangesOf(socket);
    exchanges.add(exchange);
    response.once("close", () => {
      exchanges.delete(exchange);
      if (exchanges.size > 0 || socket.destroyed) return;
      this.openExchanges.delete(socket);
      this.idle.set(socket, socket.bytesRead);
    });
  }

  private exchangesOf(socket: Socket): Set<CallerExchange> {
    const open = this.openExchanges.get(socket);
    if (open !== undefined) return open;
    const exchanges = new Set<CallerExchange>();
    this.openExchanges.set(socket, exchanges);
    if (this.idle.delete(socket)) return exchanges;
    socket.once("close", () => {
      this.openExchanges.delete(socket);
      this.idle.delete(socket);
    });
    return exchanges;
  }

  private closeIdle(): void {
    for (const [socket, bytesRead] of this.idle) {
      // Otherwise the next request has begun to arrive.
      if (socket.bytesRead === bytesRead) socket.destroy();
    }
  }

  private takesNoMore(socket: Socket): boolean {
    if (this.refused.has(socket) || !socket.writable) return true;
    const exchanges = [...(this.openExchanges.get(socket) ?? [])];
    return exchanges.some(({ response }) => closesConnection(response));
  }
}

/** A request of HTTP/1.1 without the Host header that it needs. */
class MissingHostError extends Error {
  readonly code = "ERR_HOST_MISSING";
}

function isHostMissing({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === "1.1" && headers.host === undefined;
}

function closesConnection(response: ServerResponse): boolean {
  return response.getHeader("connection") === "close";
}

function closed(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("close", resolve);
  });
}

/** Sends the text and ends the connection. */
function endWith(socket: Socket, text: string): void {
  socket.end(text);
  const timer = setTimeout(() => {
    socket.destroy();
  }, REFUSED_LINGER_MS);
  socket.once("close", () => {
    clearTimeout(timer);
  });
}
