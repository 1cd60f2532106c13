/** Answers input that Node's HTTP parser rejects. */
import type { Socket } from "node:net";
import { failure, type ApricotdeckError } from "../../internal.js";

interface ClientError extends Error {
  readonly code?: string;
}

/**
 * Handles `clientError`; at this point there is no request or response object.
 */
export function answerUnreadable(error: ClientError, socket: Socket): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const { entry, message } = clientFailure(error);
  const body = JSON.stringify({
    error: { message, type: entry.name, outcome: entry.outcome },
  });
  const head = [
    `HTTP/1.1 ${entry.status} Refused`,
    "connection: close",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

function clientFailure({ code }: ClientError): ApricotdeckError {
  if (code === "HPE_HEADER_OVERFLOW") return failure(1205);
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return failure(1206);
  return failure(1201, { reason: code ?? "unknown" });
}
