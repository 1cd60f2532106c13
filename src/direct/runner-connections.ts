/** Connections of one entry to one runner. */
import { Pool, type Dispatcher } from "undici";
import { createConnector } from "../shared/connector.js";

/** Established within this time or not at all, ms. */
const CONNECT_TIMEOUT_MS = 800;
/** Idle connections are closed after this time, ms; runners may be sooner. */
const IDLE_CONNECTION_MS = 4000;
/** Connections of one entry to one runner. */
const CONNECTIONS_EACH_RUNNER = 24;

/** `address`: host:port. One request at a time on a connection. */
export function connectRunner(address: string): Dispatcher {
  return new Pool(`http://${address}`, {
    connections: CONNECTIONS_EACH_RUNNER,
    pipelining: 1,
    connect: createConnector({ timeout: CONNECT_TIMEOUT_MS }),
    keepAliveTimeout: IDLE_CONNECTION_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
