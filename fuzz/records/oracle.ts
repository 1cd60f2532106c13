/** Expected results for records, computed without the decoders under test. */
import { ApricotdeckError } from "../../src/internal.js";

/**
 * "open": neither clearly valid nor clearly invalid; the reader may accept or
 * reject it.
 */
export type Validity = "valid" | "invalid" | "open";

export const validAddresses = ["10.0.0.1:80", "host-a:1", "[::1]:65535"];
export const invalidAddresses = [
  "",
  "host",
  "host:0",
  ":80",
  "host:65536",
  "ho st:80",
  "10.0.0.999:80",
  "host:80/x",
];

type Fields = Readonly<Record<string, unknown>>;

/**
 * Parses bytes as the UTF-8 JSON text of an object; undefined when they aren't.
 */
export function parseJson(value: Buffer): Fields | undefined {
  const text = value.toString();
  if (!Buffer.from(text).equals(value)) return undefined;
  try {
    const parsed: unknown = JSON.parse(text);
    const isObject = typeof parsed === "object" && parsed !== null;
    if (!isObject || Array.isArray(parsed)) return undefined;
    return parsed as Fields;
  } catch {
    return undefined;
  }
}

export function classifyAddress(address: unknown): Validity {
  if (typeof address !== "string") return "invalid";
  if (validAddresses.includes(address)) return "valid";
  return invalidAddresses.includes(address) ? "invalid" : "open";
}

/**
 * Returns a violation when `read` throws anything but an error of the project's
 * own error table.
 */
export function findUntypedErrors(read: () => unknown): readonly string[] {
  try {
    read();
    return [];
  } catch (error) {
    if (error instanceof ApricotdeckError) return [];
    return [`untyped error: ${String(error)}`];
  }
}
