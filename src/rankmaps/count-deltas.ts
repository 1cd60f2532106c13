/**
 * What a rank's requests chose since the last look, from counts that run since
 * the start of the rank's life. Only what was added between two looks at one
 * life is told: a life's counts as a whole would pass for the demand of one
 * moment, and the next map would be made for what is long over.
 */
import type { Now } from "../internal.js";
import { LatestLife } from "./latest-life.js";
import type { RankCounts } from "./types.js";

export class CountDeltas {
  private known: RankCounts | undefined;

  private constructor(private readonly lives: LatestLife) {}

  static create(now: Now): CountDeltas {
    return new CountDeltas(LatestLife.create(now));
  }

  /** None at the first look at a life, and for counts that come late. */
  take(counted: RankCounts): readonly number[] {
    const { known } = this;
    const order = this.lives.see(counted.startedAtMs);
    if (order === "earlier") return [];
    const isSame = order === "same" && known !== undefined;
    if (isSame && isOvertaken(known, counted)) return [];
    this.known = counted;
    if (!isSame || !isContinued(known, counted)) return [];
    return counted.counts.map((count, index) => count - countAt(known, index));
  }
}

/** By what is known of the same life. */
function isOvertaken(known: RankCounts, counted: RankCounts): boolean {
  const isOneEpoch = known.epoch === counted.epoch;
  return isLifeTold(known, counted) && isOneEpoch && isLower(known, counted);
}

/**
 * Where lives aren't told, a life that begins anew shows in a new epoch, which
 * the group gets whenever a rank restarts, or in a count that went down.
 */
function isContinued(known: RankCounts, counted: RankCounts): boolean {
  if (isLower(known, counted)) return false;
  return isLifeTold(known, counted)
    ? known.startedAtMs === counted.startedAtMs
    : known.epoch === counted.epoch;
}

function isLifeTold(known: RankCounts, counted: RankCounts): boolean {
  return known.startedAtMs !== undefined && counted.startedAtMs !== undefined;
}

function isLower(known: RankCounts, counted: RankCounts): boolean {
  return counted.counts.some((count, index) => count < countAt(known, index));
}

function countAt({ counts }: RankCounts, index: number): number {
  return counts.at(index) ?? 0;
}
