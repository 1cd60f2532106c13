/**
 * Removes headers that apply to a single connection and must not be forwarded.
 */
import type { HeaderPairs } from "./types.js";

/**
 * Hop-by-hop headers, and two that each connection handles for itself:
 * content-length and expect.
 */
const REMOVED_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
]);

/** End-to-end headers of Node's raw header list (name, value, name, ...). */
export function endToEndHeaders(rawHeaders: readonly string[]): HeaderPairs {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index], rawHeaders[index + 1]]);
  }
  const named = headersNamedByConnection(pairs);
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return !REMOVED_HEADERS.has(key) && !named.has(key);
  });
}

/** End-to-end headers of a runner's response. */
export function endToEndResponseHeaders(
  headers: Readonly<NodeJS.Dict<string | string[]>>,
): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !REMOVED_HEADERS.has(name))
      forwarded[name] = value;
  }
  return forwarded;
}

function headersNamedByConnection(pairs: HeaderPairs): ReadonlySet<string> {
  const names = pairs
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value.split(","))
    .map((name) => name.trim().toLowerCase());
  return new Set(names);
}
