/** The verdicts by a reading of the whole log that was never trimmed. */
import type { Publication } from "../../src/internal.js";

/** What the target publishes in place of real configurations. */
export interface FuzzContent {
  readonly isValid: boolean;
  readonly value: number;
}

export interface OracleReading {
  /** Verdict of each publication by its offset, as a newest release sees it. */
  readonly verdicts: ReadonlyMap<number, "accepted" | "superseded" | "invalid">;
  /** Versions in force after each offset at a release that knows a format. */
  readonly versionAfter: (offset: number, newestFormat: number) => number;
}

export function readWhole(
  log: readonly (Publication | undefined)[],
): OracleReading {
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
