/** Connections of one entry to one runner. */
import { Socket } from "node:net";
import { Pool, buildConnector, type Dispatcher } from "undici";

/** Established within this time or not at all, ms. */
const CONNECT_TIMEOUT_MS = 800;
/** Idle connections are closed after this time, ms; runners may be sooner. */
const IDLE_CONNECTION_MS = 4000;
/** Connections of one entry to one runner. */
const CONNECTIONS_EACH_RUNNER = 24;

/** Code of a reset as this module passes it on. */
const RESET = "UPSTREAM_RESET";

/** `address`: host:port. One request at a time on a connection. */
export function connectRunner(address: string): Dispatcher {
  return new Pool(`http://${address}`, {
    connections: CONNECTIONS_EACH_RUNNER,
    pipelining: 1,
    connect: createConnector(),
    keepAliveTimeout: IDLE_CONNECTION_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/**
 * The client library takes a reset for the end of an answer that has no length
 * of its own, so that half an answer would pass for a whole one. Under another
 * code it is the failure that it is.
 */
function createConnector(): buildConnector.connector {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    connector(options, (...result) => {
      const [, socket] = result;
      // Undefined, whatever its type says, when there is no connection.
      if (socket instanceof Socket) renameResets(socket);
      callback(...result);
    });
  };
}

function renameResets(socket: Socket): void {
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") error.code = RESET;
  });
}
