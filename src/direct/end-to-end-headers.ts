/** Headers that pass through a proxy; the rest concerns one connection. */
import type { HeaderPairs } from "./types.js";

const HOP_BY_HOP: ReadonlySet<string> = new Set([
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

/** Node's raw list (name, value, name, ...) without one connection's headers. */
export function endToEndHeaders(rawHeaders: readonly string[]): HeaderPairs {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index], rawHeaders[index + 1]]);
  }
  const named = namedByConnection(pairs);
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return !HOP_BY_HOP.has(key) && !named.has(key);
  });
}

/** Answer headers as the runner gave them, without one connection's. */
export function answerHeaders(
  headers: Readonly<NodeJS.Dict<string | string[]>>,
): Record<string, string | string[]> {
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_BY_HOP.has(name)) passed[name] = value;
  }
  return passed;
}

function namedByConnection(pairs: HeaderPairs): ReadonlySet<string> {
  const names = pairs
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value.split(","))
    .map((name) => name.trim().toLowerCase());
  return new Set(names);
}
