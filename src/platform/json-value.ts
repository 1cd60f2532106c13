/** JSON from elsewhere, read strictly: bytes, then text, then a schema. */
import type { z } from "zod";
import { raise, toFailure } from "../internal.js";

/** A reason names so many of the fields that don't fit. */
const MOST_ISSUES = 3;

/**
 * Bytes that are no UTF-8 would turn into replacement characters and pass for
 * a name or an address that nobody wrote.
 */
const strictText = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });

/** Throws 1903. */
export function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(strictText.decode(bytes)) as unknown;
  } catch (error) {
    throw toFailure(error, 1903);
  }
}

/** Throws 1903. */
export function checkValue<T>(schema: z.ZodType<T>, value: unknown): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  return raise(1903, { reason: describeIssues(result.error.issues) });
}

/** Throws 1903. */
export function decodeJson<T>(schema: z.ZodType<T>, bytes: Uint8Array): T {
  return checkValue(schema, parseJson(bytes));
}

function describeIssues(issues: readonly z.core.$ZodIssue[]): string {
  return issues
    .slice(0, MOST_ISSUES)
    .map(({ path, message }) => `${path.join(".")}: ${message}`)
    .join("; ");
}
