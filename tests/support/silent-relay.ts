/**
 * Relay between an entry and an agent that can lose track of its open
 * connections: it goes on accepting what both ends write and delivers nothing,
 * while new connections work.
 */
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";

export interface SilentRelay extends AsyncDisposable {
  readonly address: string;
  /** Connections so far. */
  readonly connections: () => number;
  /** Silences every open connection for good. */
  readonly silence: () => void;
}

export async function startSilentRelay(target: string): Promise<SilentRelay> {
  const [host, port] = target.split(":");
  const silencers = new Set<() => void>();
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    const silence = joinSockets(near, far);
    silencers.add(silence);
    for (const socket of [near, far]) sockets.add(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port: given } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${given}`,
    connections: () => silencers.size,
    silence: () => {
      for (const silence of silencers) silence();
    },
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, "close");
    },
  };
}

/** Returns what silences the pair: both ends are still read, and dropped. */
function joinSockets(near: Socket, far: Socket): () => void {
  let silent = false;
  const pass = (from: Socket, to: Socket): void => {
    from.on("data", (data) => {
      if (!silent) to.write(data);
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      if (!silent) to.destroy();
    });
  };
  pass(near, far);
  pass(far, near);
  return () => {
    silent = true;
  };
}
