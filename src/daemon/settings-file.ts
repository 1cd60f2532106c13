/** Reads settings, JSON with comments, and validates them against a schema. */
import { readFileSync } from "node:fs";
import { parse, printParseErrorCode, type ParseError } from "jsonc-parser";
import type { z } from "zod";
import { raise } from "../internal.js";

/** Throws 1001. */
export function readSettingsText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    return raise(1001, { file }, error);
  }
}

/** Throws 1002 with the line, or with the field and the expected value. */
export function parseSettingsText<T>(
  schema: z.ZodType<T>,
  text: string,
  file: string,
): T {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const syntax = errors.at(0);
  if (syntax !== undefined) {
    const line = text.slice(0, syntax.offset).split("\n").length;
    raise(1002, { file, line, found: printParseErrorCode(syntax.error) });
  }
  const result = schema.safeParse(value, { reportInput: true });
  if (result.success) return result.data;
  return raise(1002, { file, ...describeIssue(result.error.issues.at(0)) });
}

function describeIssue(
  issue: z.core.$ZodIssue | undefined,
): Record<string, string> {
  if (issue === undefined) return {};
  const { input } = issue;
  const found = input === undefined ? "nothing" : JSON.stringify(input);
  return {
    path: issue.path.join(".") || "(top)",
    expected: issue.message,
    found: found.length > 200 ? `${found.slice(0, 200)}…` : found,
  };
}
