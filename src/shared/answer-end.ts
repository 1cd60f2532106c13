/**
 * What marks the end of an HTTP answer. An answer without such a mark ends with
 * its connection, and the connection closes just the same when the process
 * behind it ends inside the answer: nobody can tell half of it from all of it.
 */

/**
 * What ends an answer: its head, where no body follows; a length; the last
 * chunk; or nothing but the end of its connection, whole or not.
 */
export type EndMark = "head" | "length" | "chunks" | "connection";

/** The two headers that frame an answer; a header sent twice is a list. */
export interface FramingHeaders {
  readonly "content-length"?: string | readonly string[] | undefined;
  readonly "transfer-encoding"?: string | readonly string[] | undefined;
}

const FIRST_FINAL = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const HEAD = "HEAD";
/**
 * A tab behind the coding would be allowed, but the client library then finds
 * no chunks and reads up to the end of the connection. Too strict costs no more
 * than an answer that is passed on without a mark.
 */
const CHUNKED_LAST = /(^|,)[ \t]*chunked *$/i;

/**
 * What ends an answer with this head. Of several transfer codings the last one
 * decides, and only chunks have an end of their own; with any other one the
 * length doesn't count either (RFC 9112, 6.3). `method`: the request's.
 */
export function endMarkOf(
  status: number,
  headers: FramingHeaders,
  method = "",
): EndMark {
  if (method === HEAD || hasNoBody(status)) return "head";
  const codings = headers["transfer-encoding"];
  if (codings !== undefined) {
    return CHUNKED_LAST.test(String(codings)) ? "chunks" : "connection";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

/** Whether a reader can tell the whole answer from a part of it. */
export function isEndMarked(
  status: number,
  headers: FramingHeaders,
  method = "",
): boolean {
  return endMarkOf(status, headers, method) !== "connection";
}

function hasNoBody(status: number): boolean {
  const isInterim = status < FIRST_FINAL;
  return isInterim || status === NO_CONTENT || status === NOT_MODIFIED;
}
