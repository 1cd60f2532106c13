/**
 * Message framing of HTTP answers. An answer without framing ends when its
 * connection closes, which also happens if the server crashes in the middle: a
 * truncated answer can't be distinguished from a complete one.
 */

/**
 * What delimits an answer: its head, if no body follows; a length; the last
 * chunk; or only the end of its connection, which may have truncated it.
 */
export type EndMark = "head" | "length" | "chunks" | "connection";

/** The two headers that frame an answer; a repeated header is a list. */
export interface FramingHeaders {
  readonly "content-length"?: string | readonly string[] | undefined;
  readonly "transfer-encoding"?: string | readonly string[] | undefined;
}

const FIRST_FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const HEAD_METHOD = "HEAD";
/**
 * HTTP allows a trailing tab, but the client library then doesn't parse chunks
 * and reads up to the end of the connection. Being too strict only means that
 * an answer counts as unframed.
 */
const ENDS_WITH_CHUNKED = /(^|,)[ \t]*chunked *$/i;

/**
 * Framing of an answer with this head (RFC 9112, 6.3). The last transfer coding
 * decides, and only chunked is self-delimiting; with any other coding, a
 * content length is ignored. `method`: of the request.
 */
export function endMarkOf(
  status: number,
  headers: FramingHeaders,
  method = "",
): EndMark {
  if (method === HEAD_METHOD || hasNoBody(status)) return "head";
  const codings = headers["transfer-encoding"];
  if (codings !== undefined) {
    return ENDS_WITH_CHUNKED.test(String(codings)) ? "chunks" : "connection";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

/** Whether a reader can tell a complete answer from a truncated one. */
export function isEndMarked(
  status: number,
  headers: FramingHeaders,
  method = "",
): boolean {
  return endMarkOf(status, headers, method) !== "connection";
}

function hasNoBody(status: number): boolean {
  const isInterim = status < FIRST_FINAL_STATUS;
  return isInterim || status === NO_CONTENT || status === NOT_MODIFIED;
}
