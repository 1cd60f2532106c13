/**
 * Connections that report a reset as an error, never as the end of an answer.
 */
import { Socket } from "node:net";
import { buildConnector } from "undici";

/** Error code that replaces ECONNRESET. */
const RESET_CODE = "UPSTREAM_RESET";

/**
 * The client library treats ECONNRESET as the end of an answer without a
 * length, so a truncated answer would pass for a complete one. Under another
 * code it reports the reset as an error.
 */
export function createConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connector = buildConnector(options);
  return (target, callback) => {
    connector(target, (...result) => {
      const [, socket] = result;
      // Undefined if the connection failed, contrary to its type.
      if (socket instanceof Socket) {
        replaceResetCode(socket);
        detectHiddenResets(socket);
      }
      callback(...result);
    });
  };
}

function replaceResetCode(socket: Socket): void {
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") error.code = RESET_CODE;
  });
}

/**
 * If data and a reset arrive in the same turn of the event loop, the socket
 * reports the data and a normal end, and a truncated answer without length or
 * chunks would pass for complete. A connection that was closed in order still
 * has a remote address at its end, a reset one doesn't. Nothing may read the
 * address earlier, because the socket caches it.
 */
function detectHiddenResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (
    event: string | symbol,
    ...values: readonly unknown[]
  ) => boolean;
  socket.emit = (event: string | symbol, ...values: readonly unknown[]) => {
    if (event !== "end" || socket.remoteAddress !== undefined) {
      return emit(event, ...values);
    }
    const reset: NodeJS.ErrnoException = new Error(
      "connection reset after the last data",
    );
    reset.code = RESET_CODE;
    socket.destroy(reset);
    return true;
  };
}
