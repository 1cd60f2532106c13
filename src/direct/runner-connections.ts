/** Connections of one entry to one life of a runner. */
import { Socket } from "node:net";
import { Pool, type Dispatcher, type buildConnector } from "undici";
import { createConnector } from "../shared/connector.js";

/** Established within this time or not at all, ms. */
const CONNECT_TIMEOUT_MS = 800;
/** Idle connections are closed after this time, ms; runners may be sooner. */
const IDLE_CONNECTION_MS = 4000;
/** Connections of one entry to one runner. */
const CONNECTIONS_EACH_RUNNER = 24;

export interface RunnerConnections {
  readonly dispatch: Dispatcher["dispatch"];
  /** Takes nothing new; what runs goes on to its end. */
  readonly close: () => Promise<void>;
  /** The runner is over: all that runs or waits here fails at once. */
  readonly endAll: () => void;
  /**
   * Another life of the runner has begun at the address at this time, Unix ms.
   * What runs on connections from before fails at once; those opened since then
   * lead to the later life, and what runs there goes on.
   */
  readonly endOpenedBefore: (startedAtMs: number) => void;
}

/** `address`: host:port. One request at a time on a connection. */
export function connectRunner(address: string): RunnerConnections {
  const opened = new Map<Socket, number>();
  const pool = new Pool(`http://${address}`, {
    connections: CONNECTIONS_EACH_RUNNER,
    pipelining: 1,
    connect: recordOpened(
      createConnector({ timeout: CONNECT_TIMEOUT_MS }),
      opened,
    ),
    keepAliveTimeout: IDLE_CONNECTION_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    dispatch: (options, handler) => pool.dispatch(options, handler),
    close: () => pool.close(),
    endAll: () => {
      void pool.destroy(lifeOver());
    },
    endOpenedBefore: (startedAtMs) => {
      for (const [socket, openedAtMs] of opened) {
        if (openedAtMs < startedAtMs) socket.destroy(lifeOver());
      }
    },
  };
}

function lifeOver(): Error {
  return new Error("the runner has started again");
}

/**
 * Unix ms that don't jump when the time of day is set: a connection must not
 * seem older than a life that began before it.
 */
export function steadyUnixMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Keeps the open sockets, and when each was opened, Unix ms. */
function recordOpened(
  connect: buildConnector.connector,
  opened: Map<Socket, number>,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // Undefined, whatever its type says, when there is no connection.
      if (socket instanceof Socket) {
        opened.set(socket, steadyUnixMs());
        socket.once("close", () => opened.delete(socket));
      }
      callback(...result);
    });
  };
}
