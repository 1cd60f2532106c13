/**
 * Strict parsing of JSON from other processes: UTF-8, JSON syntax, then a
 * schema.
 */
import type { z } from "zod";
import { raise, toFailure } from "../internal.js";

/** An error names at most this many schema violations. */
const MAXIMUM_REPORTED_ISSUES = 3;

/**
 * Fatal, because invalid UTF-8 would otherwise decode to replacement characters
 * and be taken for a valid name or address.
 */
const strictUtf8Decoder = new TextDecoder("utf-8", {
  fatal: true,
  ignoreBOM: true,
});

/** Throws 1903. */
export function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(strictUtf8Decoder.decode(bytes)) as unknown;
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
    .slice(0, MAXIMUM_REPORTED_ISSUES)
    .map(({ path, message }) => `${path.join(".")}: ${message}`)
    .join("; ");
}
