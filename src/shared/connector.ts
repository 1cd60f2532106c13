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
      if (socket instanceof Socket) {
        renameResets(socket);
        revealResets(socket);
      }
      callback(...result);
    });
  };
}

function renameResets(socket: Socket): void {
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") error.code = RESET;
  });
}

/**
 * An event loop that finds bytes and a reset at once reports the bytes and a
 * plain end; half an answer without length or chunks would pass for whole. A
 * connection that was closed in order still has a peer when its end is read,
 * one that was reset has none. The address is asked for nowhere before, since
 * the socket would go on telling the one it knows.
 */
function revealResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (
    event: string | symbol,
    ...values: readonly unknown[]
  ) => boolean;
  socket.emit = (event: string | symbol, ...values: readonly unknown[]) => {
    if (event !== "end" || socket.remoteAddress !== undefined) {
      return emit(event, ...values);
    }
    const reset: NodeJS.ErrnoException = new Error("reset behind the bytes");
    reset.code = RESET;
    socket.destroy(reset);
    return true;
  };
}
