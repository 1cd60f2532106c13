/**
 * Computes how often a rank's requests selected each expert since the last
 * read, from counters that are cumulative since the runner's start. Only the
 * difference between two reads of the same incarnation is returned: cumulative
 * counts would be mistaken for current demand, and the next map would be
 * planned for demand of the past.
 */
import type { Now } from "../internal.js";
import { LatestIncarnation } from "./latest-incarnation.js";
import type { RankCounts } from "./types.js";

export class CountDeltas {
  private last: RankCounts | undefined;

  private constructor(private readonly incarnations: LatestIncarnation) {}

  static create(now: Now): CountDeltas {
    return new CountDeltas(LatestIncarnation.create(now));
  }

  /**
   * Empty at the first read of an incarnation, and for counts that arrive late.
   */
  update(current: RankCounts): readonly number[] {
    const { last } = this;
    const order = this.incarnations.observe(current.startedAtMs);
    if (order === "earlier") return [];
    const isSame = order === "same" && last !== undefined;
    if (isSame && isOutOfOrder(last, current)) return [];
    this.last = current;
    if (!isSame || !isContinuous(last, current)) return [];
    return current.counts.map((count, index) => count - countAt(last, index));
  }
}

/**
 * Whether the counts are older than the previous ones of the same incarnation.
 */
function isOutOfOrder(last: RankCounts, current: RankCounts): boolean {
  const isSameEpoch = last.epoch === current.epoch;
  return haveStarts(last, current) && isSameEpoch && hasDecrease(last, current);
}

/**
 * Without a known start, a restart shows as a new epoch, which the group gets
 * whenever a rank restarts, or as a counter that has decreased.
 */
function isContinuous(last: RankCounts, current: RankCounts): boolean {
  if (hasDecrease(last, current)) return false;
  return haveStarts(last, current)
    ? last.startedAtMs === current.startedAtMs
    : last.epoch === current.epoch;
}

function haveStarts(last: RankCounts, current: RankCounts): boolean {
  return last.startedAtMs !== undefined && current.startedAtMs !== undefined;
}

function hasDecrease(last: RankCounts, current: RankCounts): boolean {
  return current.counts.some((count, index) => count < countAt(last, index));
}

function countAt({ counts }: RankCounts, index: number): number {
  return counts.at(index) ?? 0;
}
