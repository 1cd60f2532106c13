/**
 * How the end of an answer is marked. An answer with neither a length nor
 * chunks ends when its connection closes, and closes just the same when the
 * runner's process ends inside it: nobody can tell half of it from all of it.
 * Passed on with a length or chunks of our own, half an answer would be marked
 * as whole. So it goes out as it came in, ended by the connection, and callers
 * know as much as we do.
 */
import type { ServerResponse } from "node:http";

export { endMarkOf } from "../shared/answer-end.js";

/** Sends no length and no chunks; called before the head is written. */
export function endWithConnection(response: ServerResponse): void {
  response.removeHeader("transfer-encoding");
  response.removeHeader("content-length");
  response.setHeader("connection", "close");
}
