/**
 * Votes on one proposal. A member's vote is what its engine's register says,
 * and the register is written once: armed is a yes, refused is a no. So votes
 * are facts that anyone may relay, and the outcome needs no coordinator.
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
 * The vote that the register of a member's engine holds, or undefined when it
 * is still open or the engine can no longer tell.
 */
export function voteFromRegister(
  state: EngineMapState,
  proposal: Proposal,
): boolean | undefined {
  if (!sameBallot(state.group, proposal.group)) return undefined;
  if (sameBallot(state.armed?.proposal.id ?? null, proposal.id)) return true;
  if (sameBallot(state.origin, proposal.id)) return true;
  // A later map is in force, so every member has settled this proposal; what
  // this one said can't be told any more and nobody waits for it.
  if (state.version > proposal.version) return undefined;
  // Another proposal took the version, which all members agreed to.
  if (state.version === proposal.version) return false;
  // An engine that promised itself to a formation arms nothing any more.
  if (!sameBallot(state.group, state.sealed)) return false;
  return compareBallots(proposal.id, state.floor) <= 0 ? false : undefined;
}

/** All yes is a commit, any no an abort; silence is neither. */
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
 * Adds facts to what is known. A no after a yes of the same member is a
 * register read after the abort, and says the same as the abort did. A no after
 * a commit would mean that a register was written twice: it is not taken in,
 * and its sender is returned.
 */
export function mergeVotes(
  proposal: Proposal,
  known: Map<string, boolean>,
  votes: readonly Vote[],
): readonly string[] {
  const contradicting: string[] = [];
  for (const { member, yes } of votes) {
    const committed = outcomeOf(proposal, known) === "committed";
    if (committed && !yes) contradicting.push(member);
    else if (known.get(member) !== false) known.set(member, yes);
  }
  return contradicting;
}
