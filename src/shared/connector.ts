/** Connections to servers whose answers may end with their connection. */
import { Socket } from "node:net";
import { buildConnector } from "undici";

/** Code of a reset as this module passes it on. */
const RESET = "UPSTREAM_RESET";

/**
 * The client library takes a reset for the end of an answer that has no length
 * of its own, so that half an answer would pass for a whole one. Under another
 * code it is the failure that it is.
 */
export function createConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connector = buildConnector(options);
  return (target, callback) => {
    connector(target, (...result) => {
      const [, socket] = result;
      // Undefined, whatever its type says, when there is no connection.
      if (socket instanceof Socket) renameResets(socket);
      callback(...result);
    });
  };
}

function renameResets(socket: Socket): void {
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") error.code = RESET;
  });
}
