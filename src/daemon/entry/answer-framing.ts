/**
 * How an answer to a caller ends. An answer with neither a length nor chunks
 * ends when its connection closes, and closes just the same when the backend
 * server's process ends inside it: nobody can tell half of it from all of it.
 * Passed on with a length or chunks of our own, half an answer would be marked
 * as whole. So it goes out as it came in, ended by the connection, and callers
 * know as much as we do.
 */
import type { ServerResponse } from "node:http";

/** Sends no length and no chunks; called before the head is written. */
export function endWithConnection(response: ServerResponse): void {
  response.removeHeader("transfer-encoding");
  response.removeHeader("content-length");
  response.setHeader("connection", "close");
}

/**
 * Ends an answer that can't be completed. Without chunks or a length the
 * caller sees a reset: closed in good order, the broken answer would pass for
 * a whole one. With them, what is missing shows by itself.
 */
export function breakOff(response: ServerResponse): void {
  const isMarked = response.chunkedEncoding || !response.headersSent;
  if (isMarked) response.destroy();
  else response.socket?.resetAndDestroy();
}
