/**
 * Limits the connections of one HTTP listener, the requests on each of them,
 * and the heads that haven't been read to their end.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ApricotdeckError, Now } from "../internal.js";
import {
  AcceptedConnections,
  type AcceptedConnection,
  type AcceptedConnectionsOptions,
} from "./accepted-connections.js";
import type { HeldBytes } from "./memory-budget.js";
import type { RequestMemory } from "./request-memory.js";

export interface ConnectionGuardOptions extends AcceptedConnectionsOptions {
  /** Requests on one connection that haven't been answered completely. */
  readonly maximumOpenRequests: number;
  /** Counts heads that aren't complete; without it, they aren't counted. */
  readonly memory?: RequestMemory;
  readonly now: Now;
}

interface Connection extends AcceptedConnection<Socket> {
  /** Responses that haven't been sent completely. */
  readonly openResponses: Set<ServerResponse>;
  hasSentRequest: boolean;
  restingSinceMs: number;
  /** Bytes read of it up to the end of the last request. */
  requestEndBytes: number;
  /** The last request, while its body is being read. */
  reading: IncomingMessage | undefined;
}

/** Interval at which incomplete heads are counted, ms. */
const COUNT_INTERVAL_MS = 250;
/** What the parsed strings of a head take, as a multiple of its length. */
const HEAD_COST_FACTOR = 5;

export class ConnectionGuard {
  private readonly connections: AcceptedConnections<Socket, Connection>;

  private constructor(private readonly options: ConnectionGuardOptions) {
    this.connections = AcceptedConnections.create(options);
  }

  static create(options: ConnectionGuardOptions): ConnectionGuard {
    return new ConnectionGuard(options);
  }

  /** Watches the server's connections until it closes. */
  protect(server: Server): void {
    server.on("connection", (socket: Socket) => {
      this.add(socket);
    });
    const { memory } = this.options;
    if (memory === undefined) return;
    const heldHeads = memory.openOther();
    const timer = setInterval(() => {
      this.limitHeads(heldHeads);
    }, COUNT_INTERVAL_MS);
    server.once("close", () => {
      clearInterval(timer);
      heldHeads[Symbol.dispose]();
    });
  }

  /** False if the request's connection is closed: nothing can be answered. */
  admit(request: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.connections.find(request.socket);
    if (connection === undefined) return false;
    const { socket, openResponses } = connection;
    openResponses.add(response);
    connection.hasSentRequest = true;
    connection.reading = request;
    const onRead = (): void => {
      if (connection.reading !== request) return;
      connection.reading = undefined;
      connection.requestEndBytes = socket.bytesRead;
    };
    request.once("end", onRead);
    response.once("close", () => {
      openResponses.delete(response);
      connection.restingSinceMs = this.options.now();
      if (request.complete) onRead();
    });
    if (openResponses.size <= this.options.maximumOpenRequests) return true;
    this.connections.close(connection, "too many requests");
    return false;
  }

  /**
   * Closes the connection of a request that is refused for its memory behind
   * others: the refusal would be held until their answers have been sent. False
   * if the refusal can be sent.
   */
  closesInsteadOf(
    { number }: ApricotdeckError,
    { socket }: IncomingMessage,
  ): boolean {
    const connection = this.connections.find(socket);
    const isBehindOthers = (connection?.openRequests ?? 0) > 1;
    if (number !== 1224 || connection === undefined || !isBehindOthers)
      return false;
    this.connections.close(connection, "memory");
    return true;
  }

  private add(socket: Socket): void {
    const openResponses = new Set<ServerResponse>();
    const isAdded = this.connections.tryAdd({
      key: socket,
      socket,
      openResponses,
      get openRequests() {
        return openResponses.size;
      },
      hasSentRequest: false,
      restingSinceMs: this.options.now(),
      requestEndBytes: 0,
      reading: undefined,
    });
    if (!isAdded) return;
    socket.once("close", () => {
      closeWaiting(openResponses);
    });
  }

  private limitHeads(held: HeldBytes): void {
    const unfinished = this.connections
      .list()
      .map((connection) => ({
        connection,
        bytes: HEAD_COST_FACTOR * unfinishedHeadBytes(connection),
      }))
      .filter(({ bytes }) => bytes > 0)
      .sort((a, b) => b.bytes - a.bytes);
    let total = unfinished.reduce((sum, { bytes }) => sum + bytes, 0);
    for (const { connection, bytes } of unfinished) {
      if (held.tryHold(total)) return;
      this.connections.close(connection, "heads");
      total -= bytes;
    }
    held.tryHold(total);
  }
}

function unfinishedHeadBytes(connection: Connection): number {
  const { socket, reading, requestEndBytes } = connection;
  return reading === undefined ? socket.bytesRead - requestEndBytes : 0;
}

/**
 * Closes responses that wait for earlier ones: Node.js reports the end of their
 * connection only on the response that is being sent.
 */
function closeWaiting(responses: ReadonlySet<ServerResponse>): void {
  for (const response of responses) {
    if (response.socket !== null) continue;
    response.destroy();
    response.emit("close");
  }
}
