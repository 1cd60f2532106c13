/** The program of the product on the users' platform, as a test starts it. */
import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";

export const PLATFORM_PROGRAM = fileURLToPath(
  new URL("../../platform/main.js", import.meta.url),
);
/** Variable that names the settings file. */
export const SETTINGS_VARIABLE = "APRICOTDECK_BOOT";

const HOST = "127.0.0.1";

/** host:port of loopback at which nothing listens. */
export async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `${HOST}:${port}`;
}
