/** A listening HTTP server that is closed by disposal. */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenSettings } from "./settings.js";

export interface Listening extends AsyncDisposable {
  /** host:port, with the port that the system handed out. */
  readonly address: string;
  /** Takes no new connections; open ones go on. */
  readonly stopAccepting: () => void;
}

export async function listen(
  server: Server,
  { host, port }: ListenSettings,
): Promise<Listening> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const { port: given } = server.address() as AddressInfo;
  return {
    address: `${host}:${given}`,
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
