/** Binds the server through which a daemon serves other daemons. */
import type { Server } from "@grpc/grpc-js";
import type { ListenSettings, TransportSettings } from "./settings.js";
import { serverCredentials } from "./transport.js";

/** Returns the host:port that the server listens on. */
export async function bindServer(
  server: Server,
  settings: { peers: ListenSettings; transport: TransportSettings },
): Promise<string> {
  const { host, port } = settings.peers;
  const address = `${host}:${port}`;
  const credentials = serverCredentials(settings.transport, address);
  const boundPort = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, credentials, (error, bound) => {
      if (error === null) resolve(bound);
      else reject(error);
    });
  });
  return `${host}:${boundPort}`;
}
