/**
 * Chooses the members of a group. The VM list lags, and a replacement may be
 * listed before the old VM is removed, so two VMs can offer the same rank.
 */
import type { GroupMember } from "../internal.js";

export interface MemberCandidate extends GroupMember {
  /** Still serving, but about to leave. */
  readonly leaving: boolean;
}

/**
 * Chooses one member for each rank, or returns undefined while a rank has no
 * candidate. Current members stay while they are listed, unless they are
 * leaving and another candidate offers their ranks: all agents must make the
 * same choice, and following every change of the list would cause needless
 * formations.
 */
export function chooseMembers(
  candidates: readonly MemberCandidate[],
  rankCount: number,
  currentMembers: readonly GroupMember[],
): readonly GroupMember[] | undefined {
  const isCurrentMember = (name: string): boolean =>
    currentMembers.some(({ member }) => member === name);
  const order = [...candidates].sort(
    (a, b) =>
      Number(a.leaving) - Number(b.leaving) ||
      Number(isCurrentMember(b.member)) - Number(isCurrentMember(a.member)) ||
      (a.member < b.member ? -1 : 1),
  );
  const takenRanks = new Set<number>();
  const chosen: GroupMember[] = [];
  for (const { member, ranks: offered } of order) {
    if (offered.length === 0 || offered.some((rank) => takenRanks.has(rank))) {
      continue;
    }
    for (const rank of offered) takenRanks.add(rank);
    chosen.push({ member, ranks: offered });
  }
  const allRanks = Array.from({ length: rankCount }, (_, rank) => rank);
  if (!allRanks.every((rank) => takenRanks.has(rank))) return undefined;
  return chosen.sort((a, b) => (a.member < b.member ? -1 : 1));
}
