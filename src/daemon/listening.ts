/** Starts HTTP servers that are closed by disposal. */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenSettings } from "./settings.js";

export interface ListeningServer extends AsyncDisposable {
  /** host:port, with the port that the system assigned. */
  readonly address: string;
  /** Stops accepting connections; open ones stay open while in use. */
  readonly stopAccepting: () => void;
}

export async function listen(
  server: Server,
  { host, port }: ListenSettings,
): Promise<ListeningServer> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const { port: boundPort } = server.address() as AddressInfo;
  return {
    address: `${host}:${boundPort}`,
    stopAccepting: () => {
      server.close();
      server.closeIdleConnections();
    },
    async [Symbol.asyncDispose]() {
      if (!server.listening) return;
      await new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      });
    },
  };
}
