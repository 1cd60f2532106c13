/** Refusals of input that Node's HTTP parser rejects. */
import { failure, type ApricotdeckError } from "../../internal.js";

/** Error of the HTTP server's `clientError` event. */
export interface ClientError extends Error {
  readonly code?: string;
}

/**
 * Response as it is written to the connection: at this point there is no
 * response object that could send it.
 */
export function unreadableAnswer(error: ClientError): string {
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
  return `${head.join("\r\n")}\r\n\r\n${body}`;
}

function clientFailure({ code }: ClientError): ApricotdeckError {
  if (code === "HPE_HEADER_OVERFLOW") return failure(1205);
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return failure(1206);
  return failure(1201, { reason: code ?? "unknown" });
}
