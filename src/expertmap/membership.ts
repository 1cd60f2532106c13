/**
 * Who the group should consist of. The list of VMs lags, and a new VM may be
 * there before the old one is gone, so two VMs can offer the same rank.
 */
import type { GroupMember } from "../internal.js";

export interface Candidate extends GroupMember {
  /** It still serves but is about to go. */
  readonly leaving: boolean;
}

/**
 * One member for each rank, or undefined while a rank has none. Whoever is in
 * the group stays while it is listed: all agents must come to the same choice,
 * and a choice that follows every change of the list would form the group anew
 * for nothing.
 */
export function chooseMembers(
  candidates: readonly Candidate[],
  ranks: number,
  present: readonly GroupMember[],
): readonly GroupMember[] | undefined {
  const isPresent = (name: string): boolean =>
    present.some(({ member }) => member === name);
  const order = [...candidates].sort(
    (a, b) =>
      Number(a.leaving) - Number(b.leaving) ||
      Number(isPresent(b.member)) - Number(isPresent(a.member)) ||
      (a.member < b.member ? -1 : 1),
  );
  const taken = new Set<number>();
  const chosen: GroupMember[] = [];
  for (const { member, ranks: offered } of order) {
    if (offered.length === 0 || offered.some((rank) => taken.has(rank))) {
      continue;
    }
    for (const rank of offered) taken.add(rank);
    chosen.push({ member, ranks: offered });
  }
  const all = Array.from({ length: ranks }, (_, rank) => rank);
  if (!all.every((rank) => taken.has(rank))) return undefined;
  return chosen.sort((a, b) => (a.member < b.member ? -1 : 1));
}
