/**
 * Votes on one proposal. A member's vote is the value of its engine's register,
 * which is written once: armed is a yes, refused is a no. Votes are therefore
 * immutable facts that any member may relay, and no coordinator is needed to
 * decide the outcome.
 */
import {
  compareBallots,
  sameBallot,
  type EngineMapState,
  type Proposal,
  type ProposalOutcome,
  type Vote,
} from "../internal.js";

/**
 * The vote in the register of a member's engine, or undefined when the member
 * hasn't voted or the engine no longer knows.
 */
export function voteFromRegister(
  state: EngineMapState,
  proposal: Proposal,
): boolean | undefined {
  if (!sameBallot(state.group, proposal.group)) return undefined;
  if (sameBallot(state.armed?.proposal.id ?? null, proposal.id)) return true;
  if (sameBallot(state.origin, proposal.id)) return true;
  // A later map is in force, so every member has decided this proposal. The
  // vote is no longer known, and no member waits for it.
  if (state.version > proposal.version) return undefined;
  // Another proposal, which needed the yes of all members, took the version.
  if (state.version === proposal.version) return false;
  // A sealed engine no longer arms proposals.
  if (!sameBallot(state.group, state.sealed)) return false;
  return compareBallots(proposal.id, state.floor) <= 0 ? false : undefined;
}

/** Committed when all voted yes, aborted on any no, otherwise undecided. */
export function outcomeOf(
  proposal: Proposal,
  votes: ReadonlyMap<string, boolean>,
): ProposalOutcome | undefined {
  const known = proposal.participants.map(({ member }) => votes.get(member));
  if (known.includes(false)) return "aborted";
  return known.every((vote) => vote === true) ? "committed" : undefined;
}

export function listVotes(
  votes: ReadonlyMap<string, boolean>,
): readonly Vote[] {
  return [...votes].map(([member, yes]) => ({ member, yes }));
}

/**
 * Adds votes to the known ones. A no after a yes of the same member was read
 * from its register after an abort and agrees with the abort. A no after a
 * commit would mean that a register was written twice: it is ignored, and its
 * member is returned.
 */
export function mergeVotes(
  proposal: Proposal,
  known: Map<string, boolean>,
  votes: readonly Vote[],
): readonly string[] {
  const contradictingMembers: string[] = [];
  for (const { member, yes } of votes) {
    const committed = outcomeOf(proposal, known) === "committed";
    if (committed && !yes) contradictingMembers.push(member);
    else if (known.get(member) !== false) known.set(member, yes);
  }
  return contradictingMembers;
}
