/**
 * The content formats that this release understands. The rules of a published
 * format never change: a release that wants others adds a format, since two
 * releases that judge one record differently would part for good.
 */
import type { Either } from "purify-ts";
import { examineConfiguration } from "./check.js";
import type { Configuration } from "./schema.js";
import type { ConfigurationProblem } from "./types.js";

export type ExamineContent = (
  content: unknown,
) => Either<readonly ConfigurationProblem[], Configuration>;

/** Format number to its rules. */
export type Formats = ReadonlyMap<number, ExamineContent>;

/**
 * Understood by every release there will be, so an invalid record of it may be
 * passed over. One of a newer format has to link the chain even when invalid,
 * because older releases can't see that it is.
 */
export const BASELINE_FORMAT = 1;

export const knownFormats: Formats = new Map([
  [BASELINE_FORMAT, examineConfiguration],
]);
