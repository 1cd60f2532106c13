/** What a record means, told plainly and without the decoders under test. */
import { ApricotdeckError } from "../../src/internal.js";

/** "open": neither plainly good nor plainly bad; the reader may say either. */
export type Verdict = "good" | "bad" | "open";

export const goodAddresses = ["10.0.0.1:80", "host-a:1", "[::1]:65535"];
export const badAddresses = [
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

/** The object that the bytes are JSON of, if they are. */
export function objectOf(value: Buffer): Fields | undefined {
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

export function addressVerdict(address: unknown): Verdict {
  if (typeof address !== "string") return "bad";
  if (goodAddresses.includes(address)) return "good";
  return badAddresses.includes(address) ? "bad" : "open";
}

/** What a reader threw that isn't a failure of the product's own table. */
export function untyped(read: () => unknown): readonly string[] {
  try {
    read();
    return [];
  } catch (error) {
    if (error instanceof ApricotdeckError) return [];
    return [`untyped failure: ${String(error)}`];
  }
}
