/**
 * A relay between two ends of a TCP connection that can lose track of the
 * connections it has: they stay open and take bytes, but nothing arrives any
 * more, while new connections work.
 */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";

export interface SilentRelay extends AsyncDisposable {
  /** host:port to connect to. */
  readonly address: string;
  /** Silences all connections that are open now. */
  readonly silence: () => number;
}

interface Link {
  readonly near: Socket;
  readonly far: Socket;
}

/** Relays to the host:port that `target` gives for each new connection. */
export async function startSilentRelay(
  target: () => string,
): Promise<SilentRelay> {
  const links = new Set<Link>();
  const server = createServer((near) => {
    const [host = "", port = "0"] = target().split(":");
    const far = connect(Number(port), host);
    const link = { near, far };
    links.add(link);
    near.pipe(far);
    far.pipe(near);
    const end = (): void => {
      links.delete(link);
      near.destroy();
      far.destroy();
    };
    for (const socket of [near, far]) {
      socket.on("error", end);
      socket.on("close", end);
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port: given } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${given}`,
    silence: () => {
      for (const { near, far } of links) swallow(near, far);
      return links.size;
    },
    async [Symbol.asyncDispose]() {
      for (const { near, far } of links) {
        near.destroy();
        far.destroy();
      }
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

/** Both ends can still write; what they write goes nowhere. */
function swallow(near: Socket, far: Socket): void {
  near.unpipe(far);
  far.unpipe(near);
  near.resume();
  far.resume();
}
