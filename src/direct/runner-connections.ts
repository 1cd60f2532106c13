/** Connections of an entry to one incarnation of a runner. */
import { Socket } from "node:net";
import { Pool, type Dispatcher, type buildConnector } from "undici";
import { createConnector } from "../shared/connector.js";

/** Timeout for opening a connection, ms. */
const CONNECT_TIMEOUT_MS = 800;
/**
 * Time after which idle connections are closed, ms; a runner may close them
 * earlier.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 4000;
/** Maximum connections of one entry to one runner. */
export const MAXIMUM_CONNECTIONS_PER_RUNNER = 24;

export interface RunnerConnections {
  readonly dispatch: Dispatcher["dispatch"];
  /** Rejects new requests; running ones continue to their end. */
  readonly close: () => Promise<void>;
  /** Aborts all running and queued requests, because the runner has stopped. */
  readonly abortAll: () => void;
  /**
   * A new incarnation of the runner has started at the address at this time,
   * Unix ms. Requests on connections opened earlier are aborted; later
   * connections lead to the new incarnation, and their requests continue.
   */
  readonly abortOpenedBefore: (startedAtMs: number) => void;
}

/** `address`: host:port. Requests aren't pipelined. */
export function connectRunner(address: string): RunnerConnections {
  const opened = new Map<Socket, number>();
  const pool = new Pool(`http://${address}`, {
    connections: MAXIMUM_CONNECTIONS_PER_RUNNER,
    pipelining: 1,
    connect: recordOpenedAt(
      createConnector({ timeout: CONNECT_TIMEOUT_MS }),
      opened,
    ),
    keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    dispatch: (options, handler) => pool.dispatch(options, handler),
    close: () => pool.close(),
    abortAll: () => {
      void pool.destroy(runnerRestartedError());
    },
    abortOpenedBefore: (startedAtMs) => {
      for (const [socket, openedAtMs] of opened) {
        if (openedAtMs < startedAtMs) socket.destroy(runnerRestartedError());
      }
    },
  };
}

function runnerRestartedError(): Error {
  return new Error("the runner has started again");
}

/**
 * Unix time that doesn't jump when the system clock is set, ms. Otherwise a
 * connection might appear to be older than an incarnation that started before
 * it.
 */
export function monotonicUnixMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Wraps a connector to record when each open socket was opened, Unix ms. */
function recordOpenedAt(
  connect: buildConnector.connector,
  opened: Map<Socket, number>,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // Undefined if the connection failed, although the type doesn't say so.
      if (socket instanceof Socket) {
        opened.set(socket, monotonicUnixMs());
        socket.once("close", () => opened.delete(socket));
      }
      callback(...result);
    });
  };
}
