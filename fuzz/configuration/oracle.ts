/** Oracle: computes the verdicts from the complete, untrimmed log. */
import type { Publication } from "../../src/internal.js";

/** Content that the target publishes instead of real configurations. */
export interface FuzzContent {
  readonly isValid: boolean;
  readonly value: number;
}

export interface OracleResult {
  /** Verdict of the newest release on each publication, by offset. */
  readonly verdicts: ReadonlyMap<number, "accepted" | "superseded" | "invalid">;
  /**
   * Version in force after an offset in a release that knows formats up to
   * `newestFormat`; -1 if there is none.
   */
  readonly versionAfter: (offset: number, newestFormat: number) => number;
}

export function evaluateLog(
  log: readonly (Publication | undefined)[],
): OracleResult {
  const verdicts = new Map<number, "accepted" | "superseded" | "invalid">();
  const accepted: { offset: number; formatVersion: number }[] = [];
  let head: number | null = null;
  let latest = -1;
  for (const [offset, record] of log.entries()) {
    if (record === undefined) continue;
    const { basedOn, seenThrough, formatVersion } = record;
    const content = record.configuration as FuzzContent;
    const isNext: boolean =
      basedOn === null
        ? seenThrough <= offset && (latest === -1 || latest < seenThrough)
        : basedOn === head;
    latest = offset;
    if (!isNext) verdicts.set(offset, "superseded");
    else if (content.isValid) {
      verdicts.set(offset, "accepted");
      accepted.push({ offset, formatVersion });
      head = offset;
    } else {
      verdicts.set(offset, "invalid");
      if (formatVersion > 1) head = offset;
    }
  }
  return {
    verdicts,
    versionAfter: (offset, newestFormat) =>
      accepted.findLast(
        (item) => item.offset <= offset && item.formatVersion <= newestFormat,
      )?.offset ?? -1,
  };
}
