/**
 * A member's part in proposals: casts its vote, relays votes, and passes the
 * outcome to its engine.
 *
 * Every decision is derived from the engine's register and the votes known so
 * far, so a lost message, a lost answer of the engine or a restart of the agent
 * only costs time. Outcomes are never guessed: an engine that received a wrong
 * outcome would step on another map than the other ranks.
 */
import {
  ballotKey,
  compareBallots,
  listVotes,
  mergeVotes,
  outcomeOf,
  sameBallot,
  voteFromRegister,
  type Emit,
  type EngineCall,
  type EngineMapState,
  type ExpertMap,
  type MapMessage,
  type Proposal,
  type ProposalOutcome,
  type VotesMessage,
} from "../internal.js";

/**
 * Safeguards that the fuzzer disables to prove that it detects their absence.
 */
export interface SwitchSafeguards {
  /** Arm the engine before sending a yes. */
  readonly armBeforeYes: boolean;
  /** Treat a missing vote as undecided, not as a no. */
  readonly silenceIsOpen: boolean;
  /** Write a no into the engine's register before sending it. */
  readonly refuseBeforeNo: boolean;
}

export const allSwitchSafeguards: SwitchSafeguards = {
  armBeforeYes: true,
  silenceIsOpen: true,
  refuseBeforeNo: true,
};

export interface SwitchSettings {
  readonly member: string;
  /** Incarnation of this agent. */
  readonly agent: string;
  readonly emit: Emit;
  readonly safeguards: SwitchSafeguards;
}

interface TrackedProposal {
  readonly proposal: Proposal;
  readonly votes: Map<string, boolean>;
  readonly receivedAt: number;
  nextRelayAt: number;
  armAttempted: boolean;
  ownVoteSent: boolean;
  outcomeReported: boolean;
}

/**
 * Interval between vote requests; a lost message holds a rank this much longer.
 */
const RELAY_INTERVAL_MS = 50;
/** Votes on older proposals can still be read from the registers. */
const MAXIMUM_TRACKED_PROPOSALS = 16;
/** Used only by the fuzzer mutation that treats a missing vote as a no. */
const SILENCE_TIMEOUT_MS = 200;

/** Sends a message to a member, including this one. */
export type SendMessage = (to: string, message: MapMessage) => void;

export class MapSwitch {
  private readonly trackedProposals = new Map<string, TrackedProposal>();

  private constructor(private readonly settings: SwitchSettings) {}

  static create(settings: SwitchSettings): MapSwitch {
    return new MapSwitch(settings);
  }

  /** Tracks a proposal made by this agent. */
  propose(proposal: Proposal, now: number): void {
    this.track(proposal, now);
  }

  outcome(proposal: Proposal): ProposalOutcome | undefined {
    const tracked = this.trackedProposals.get(ballotKey(proposal.id));
    return tracked && outcomeOf(proposal, tracked.votes);
  }

  /** Whether a no to the proposal is known. */
  isRejected(proposal: Proposal): boolean {
    return this.outcome(proposal) === "aborted";
  }

  receive(
    from: string,
    message: VotesMessage,
    state: EngineMapState,
    now: number,
    send: SendMessage,
  ): void {
    const { proposal, votes, wanted } = message;
    if (!sameBallot(state.group, proposal.group)) return;
    const tracked = this.track(proposal, now);
    this.addVotes(tracked, votes);
    this.readOwnVote(tracked, state);
    if (wanted) this.sendVotes(tracked, from, false, send);
  }

  /** Reads this member's votes from the engine's register. */
  observe(state: EngineMapState, now: number): void {
    // A restarted agent finds the yes of its previous incarnation here.
    if (state.armed !== null) this.track(state.armed.proposal, now);
    for (const tracked of this.trackedProposals.values())
      this.readOwnVote(tracked, state);
    this.removeOldProposals(state);
  }

  /** The next engine call for a proposal, if any. */
  nextCall(
    state: EngineMapState,
    mapByHash: (hash: string) => ExpertMap | undefined,
    now: number,
  ): EngineCall | undefined {
    for (const tracked of this.trackedProposals.values()) {
      const call = this.nextCallFor(tracked, state, mapByHash, now);
      if (call !== undefined) return call;
    }
    return undefined;
  }

  /** An arm call was answered; if it had no effect, it isn't retried. */
  armAnswered(proposal: Proposal): void {
    const tracked = this.trackedProposals.get(ballotKey(proposal.id));
    if (tracked !== undefined) tracked.armAttempted = true;
  }

  /** Relays known votes on undecided proposals and requests missing ones. */
  tick(now: number, send: SendMessage): void {
    for (const tracked of this.trackedProposals.values()) {
      const { proposal, votes } = tracked;
      const isUndecided = outcomeOf(proposal, votes) === undefined;
      const hasNewVote =
        votes.has(this.settings.member) && !tracked.ownVoteSent;
      if (!hasNewVote && !(isUndecided && now >= tracked.nextRelayAt)) continue;
      tracked.ownVoteSent ||= hasNewVote;
      tracked.nextRelayAt = now + RELAY_INTERVAL_MS;
      for (const { member } of proposal.participants) {
        if (member === this.settings.member) continue;
        const isNeeded = hasNewVote || !votes.has(member);
        if (isNeeded) this.sendVotes(tracked, member, isUndecided, send);
      }
    }
  }

  private sendVotes(
    tracked: TrackedProposal,
    to: string,
    wanted: boolean,
    send: SendMessage,
  ): void {
    const { proposal } = tracked;
    const votes = listVotes(tracked.votes);
    send(to, { kind: "votes", proposal, votes, wanted });
  }

  private track(proposal: Proposal, now: number): TrackedProposal {
    const key = ballotKey(proposal.id);
    const known = this.trackedProposals.get(key);
    if (known !== undefined) return known;
    const tracked: TrackedProposal = {
      proposal,
      votes: new Map(),
      receivedAt: now,
      nextRelayAt: now,
      armAttempted: false,
      ownVoteSent: false,
      outcomeReported: false,
    };
    this.trackedProposals.set(key, tracked);
    return tracked;
  }

  private addVotes(
    tracked: TrackedProposal,
    votes: VotesMessage["votes"],
  ): void {
    const contradictingMembers = mergeVotes(
      tracked.proposal,
      tracked.votes,
      votes,
    );
    for (const member of contradictingMembers) {
      this.settings.emit(104, {
        rule: "votes-never-change",
        detail: `${member} on ${ballotKey(tracked.proposal.id)}`,
      });
    }
    this.reportOutcome(tracked);
  }

  private readOwnVote(tracked: TrackedProposal, state: EngineMapState): void {
    if (!this.isParticipant(tracked.proposal)) return;
    const yes = voteFromRegister(state, tracked.proposal);
    if (yes === undefined) return;
    const { member } = this.settings;
    if (!tracked.votes.has(member)) {
      const proposal = ballotKey(tracked.proposal.id);
      this.settings.emit(161, { proposal, yes });
    }
    this.addVotes(tracked, [{ member, yes }]);
  }

  private reportOutcome(tracked: TrackedProposal): void {
    const outcome = outcomeOf(tracked.proposal, tracked.votes);
    if (outcome === undefined || tracked.outcomeReported) return;
    tracked.outcomeReported = true;
    const { id, version, step } = tracked.proposal;
    const proposal = ballotKey(id);
    this.settings.emit(162, { proposal, outcome, version, step });
  }

  private nextCallFor(
    tracked: TrackedProposal,
    state: EngineMapState,
    mapByHash: (hash: string) => ExpertMap | undefined,
    now: number,
  ): EngineCall | undefined {
    const { proposal, votes } = tracked;
    if (!sameBallot(state.group, proposal.group)) return undefined;
    const outcome = this.effectiveOutcome(tracked, now);
    const { armed } = state;
    if (armed !== null && sameBallot(armed.proposal.id, proposal.id)) {
      if (outcome === "aborted") return { kind: "abort", proposal };
      const isCommitPending = outcome === "committed" && !armed.committed;
      return isCommitPending ? { kind: "commit", proposal } : undefined;
    }
    const isDecided = outcome !== undefined || votes.has(this.settings.member);
    if (isDecided || state.version >= proposal.version) return undefined;
    if (!this.isParticipant(proposal)) return undefined;
    return this.voteCall(tracked, state, mapByHash);
  }

  private voteCall(
    tracked: TrackedProposal,
    state: EngineMapState,
    mapByHash: (hash: string) => ExpertMap | undefined,
  ): EngineCall | undefined {
    const { proposal } = tracked;
    const map = mapByHash(proposal.mapHash);
    if (map !== undefined && this.mayArm(tracked, state)) {
      if (!this.settings.safeguards.armBeforeYes)
        this.voteWithoutRegister(tracked, true);
      return { kind: "arm", proposal, map };
    }
    if (this.settings.safeguards.refuseBeforeNo) {
      // A no is sent only once it is in the register. Otherwise a delayed arm
      // call of an earlier agent could turn it into a yes, and members would
      // act on different votes.
      return { kind: "refuse", proposal };
    }
    this.voteWithoutRegister(tracked, false);
    return undefined;
  }

  private mayArm(tracked: TrackedProposal, state: EngineMapState): boolean {
    const { proposal, armAttempted } = tracked;
    return (
      !armAttempted &&
      proposal.participants.some(
        ({ agent }) => agent === this.settings.agent,
      ) &&
      state.armed === null &&
      state.stagingHash === proposal.mapHash &&
      state.stagingComplete &&
      state.step < proposal.step &&
      compareBallots(proposal.id, state.floor) > 0
    );
  }

  private voteWithoutRegister(tracked: TrackedProposal, yes: boolean): void {
    this.addVotes(tracked, [{ member: this.settings.member, yes }]);
  }

  private effectiveOutcome(
    tracked: TrackedProposal,
    now: number,
  ): ProposalOutcome | undefined {
    const known = outcomeOf(tracked.proposal, tracked.votes);
    if (known !== undefined || this.settings.safeguards.silenceIsOpen) {
      return known;
    }
    return now - tracked.receivedAt > SILENCE_TIMEOUT_MS
      ? "aborted"
      : undefined;
  }

  private isParticipant(proposal: Proposal): boolean {
    const { member } = this.settings;
    return proposal.participants.some((item) => item.member === member);
  }

  private removeOldProposals(state: EngineMapState): void {
    for (const [key, { proposal }] of this.trackedProposals) {
      const isObsolete =
        !sameBallot(state.group, proposal.group) ||
        state.version > proposal.version;
      if (isObsolete) this.trackedProposals.delete(key);
    }
    const surplus = this.trackedProposals.size - MAXIMUM_TRACKED_PROPOSALS;
    if (surplus <= 0) return;
    const decidedProposals = [...this.trackedProposals].filter(
      ([, { proposal, votes }]) =>
        outcomeOf(proposal, votes) !== undefined &&
        !sameBallot(state.armed?.proposal.id ?? null, proposal.id),
    );
    for (const [key] of decidedProposals.slice(0, surplus))
      this.trackedProposals.delete(key);
  }
}
