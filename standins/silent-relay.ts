/**
 * TCP relay that can turn its open connections into black holes: they stay open
 * and accept bytes but deliver none, while new connections work. This is how a
 * middlebox behaves that has lost its connection state.
 */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";

export interface SilentRelay extends AsyncDisposable {
  /** host:port to connect to. */
  readonly address: string;
  /** Stops delivery on all open connections and returns their number. */
  readonly silence: () => number;
}

interface RelayedConnection {
  readonly client: Socket;
  readonly upstream: Socket;
}

/** Relays each new connection to the host:port that `target` returns. */
export async function startSilentRelay(
  target: () => string,
): Promise<SilentRelay> {
  const connections = new Set<RelayedConnection>();
  const server = createServer((client) => {
    const [host = "", port = "0"] = target().split(":");
    const upstream = connect(Number(port), host);
    const connection = { client, upstream };
    connections.add(connection);
    client.pipe(upstream);
    upstream.pipe(client);
    const end = (): void => {
      connections.delete(connection);
      client.destroy();
      upstream.destroy();
    };
    for (const socket of [client, upstream]) {
      socket.on("error", end);
      socket.on("close", end);
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port: assignedPort } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${assignedPort}`,
    silence: () => {
      for (const { client, upstream } of connections)
        discardTraffic(client, upstream);
      return connections.size;
    },
    async [Symbol.asyncDispose]() {
      for (const { client, upstream } of connections) {
        client.destroy();
        upstream.destroy();
      }
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

/** Both ends can still write, but nothing is delivered. */
function discardTraffic(client: Socket, upstream: Socket): void {
  client.unpipe(upstream);
  upstream.unpipe(client);
  client.resume();
  upstream.resume();
}
