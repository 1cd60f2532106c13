/**
 * Content formats that this release understands. The rules of a released format
 * never change; other rules need a new format. Two releases that applied the
 * same record differently would have different configurations in force from
 * then on.
 */
import type { Either } from "purify-ts";
import { validateConfiguration } from "./check.js";
import type { Configuration } from "./schema.js";
import type { ConfigurationProblem } from "./types.js";

export type ValidateContent = (
  content: unknown,
) => Either<readonly ConfigurationProblem[], Configuration>;

/** Validation functions by format version. */
export type Formats = ReadonlyMap<number, ValidateContent>;

/**
 * Format that every release understands, so that all of them skip an invalid
 * publication of it. An invalid publication of a newer format links the chain
 * all the same, because older releases can't tell that it is invalid.
 */
export const BASELINE_FORMAT = 1;

export const knownFormats: Formats = new Map([
  [BASELINE_FORMAT, validateConfiguration],
]);
