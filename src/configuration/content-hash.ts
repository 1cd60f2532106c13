/** Content hash by which operators compare configurations across processes. */
import { createHash } from "node:crypto";

/** JSON with sorted keys, so that equal contents serialize identically. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => sortKeys(item));
}

/** SHA-256 of the published content, in hexadecimal. */
export function contentHash(configuration: unknown): string {
  return createHash("sha256")
    .update(canonicalJson(configuration))
    .digest("hex");
}

function sortKeys(item: unknown): unknown {
  if (typeof item !== "object" || item === null || Array.isArray(item)) {
    return item;
  }
  const entries = Object.entries(item);
  entries.sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries);
}
