/**
 * How the end of an answer is marked. An answer with neither a length nor
 * chunks ends when its connection closes, and closes just the same when the
 * runner's process ends inside it: nobody can tell half of it from all of it.
 * Passed on with a length or chunks of our own, half an answer would be marked
 * as whole. So it goes out as it came in, ended by the connection, and callers
 * know as much as we do.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { EndMark } from "./types.js";

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const CHUNKED_LAST = /(^|,)[ \t]*chunked[ \t]*$/i;

/**
 * What ends an answer with this head. Of several transfer codings the last one
 * decides, and only chunks have an end of their own; with any other one the
 * length doesn't count either (RFC 9112, 6.3).
 */
export function endMarkOf(
  status: number,
  headers: IncomingHttpHeaders,
): EndMark {
  if (status === NO_CONTENT || status === NOT_MODIFIED) return "head";
  const codings = headers["transfer-encoding"];
  if (codings !== undefined) {
    return CHUNKED_LAST.test(codings) ? "chunks" : "connection";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

/** Sends no length and no chunks; called before the head is written. */
export function endWithConnection(response: ServerResponse): void {
  response.removeHeader("transfer-encoding");
  response.removeHeader("content-length");
  response.setHeader("connection", "close");
}
