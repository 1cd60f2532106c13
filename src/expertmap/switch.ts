/**
 * A member's part in proposals: gives its vote, relays votes, and tells its
 * engine the outcome.
 *
 * All of it is worked out anew from the engine's register and the votes known
 * so far, so a lost message, a lost answer of the engine or a new start of the
 * agent only costs time. Nothing here may be guessed: an engine that was told
 * the wrong outcome would step on another map than the other ranks.
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

/** Safeguards that the fuzzer switches off to show that it would notice. */
export interface SwitchSafeguards {
  /** Arm the engine before the yes is told. */
  readonly armBeforeYes: boolean;
  /** Read silence as no vote at all. */
  readonly silenceIsOpen: boolean;
  /** Write a no into the engine's register before it is told. */
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

interface Entry {
  readonly proposal: Proposal;
  readonly votes: Map<string, boolean>;
  readonly receivedAt: number;
  relayAt: number;
  armTried: boolean;
  ownVoteTold: boolean;
  outcomeTold: boolean;
}

/** Asks again for missing votes; a lost message costs a held rank this long. */
const RELAY_INTERVAL_MS = 50;
/** Proposals remembered; laggards that ask about older ones ask registers. */
const LARGEST_MEMORY = 16;
/** Only the mutation that reads silence as a no uses it. */
const SILENCE_MS = 200;

/** Sends to another member. */
export type Send = (to: string, message: MapMessage) => void;

export class MapSwitch {
  private readonly entries = new Map<string, Entry>();

  private constructor(private readonly settings: SwitchSettings) {}

  static create(settings: SwitchSettings): MapSwitch {
    return new MapSwitch(settings);
  }

  /** Takes up a proposal of this agent's own. */
  propose(proposal: Proposal, now: number): void {
    this.open(proposal, now);
  }

  outcome(proposal: Proposal): ProposalOutcome | undefined {
    const entry = this.entries.get(ballotKey(proposal.id));
    return entry && outcomeOf(proposal, entry.votes);
  }

  /** A vote against the proposal is known. */
  rejected(proposal: Proposal): boolean {
    return this.outcome(proposal) === "aborted";
  }

  receive(
    from: string,
    message: VotesMessage,
    state: EngineMapState,
    now: number,
    send: Send,
  ): void {
    const { proposal, votes, wanted } = message;
    if (!sameBallot(state.group, proposal.group)) return;
    const entry = this.open(proposal, now);
    this.merge(entry, votes);
    this.observeEntry(entry, state);
    if (wanted) this.tell(entry, from, false, send);
  }

  /** Takes in what the engine's register says. */
  observe(state: EngineMapState, now: number): void {
    // An agent that started anew finds the yes of its predecessor here.
    if (state.armed !== null) this.open(state.armed.proposal, now);
    for (const entry of this.entries.values()) this.observeEntry(entry, state);
    this.forget(state);
  }

  /** The order that the engine needs next, if any. */
  wantedCall(
    state: EngineMapState,
    mapByHash: (hash: string) => ExpertMap | undefined,
    now: number,
  ): EngineCall | undefined {
    for (const entry of this.entries.values()) {
      const call = this.callFor(entry, state, mapByHash, now);
      if (call !== undefined) return call;
    }
    return undefined;
  }

  /** An order to arm was answered; without effect it isn't tried again. */
  armAnswered(proposal: Proposal): void {
    const entry = this.entries.get(ballotKey(proposal.id));
    if (entry !== undefined) entry.armTried = true;
  }

  /** Relays what is known of open proposals and asks for what is missing. */
  tick(now: number, send: Send): void {
    for (const entry of this.entries.values()) {
      const { proposal, votes } = entry;
      const open = outcomeOf(proposal, votes) === undefined;
      const news = votes.has(this.settings.member) && !entry.ownVoteTold;
      if (!news && !(open && now >= entry.relayAt)) continue;
      entry.ownVoteTold ||= news;
      entry.relayAt = now + RELAY_INTERVAL_MS;
      for (const { member } of proposal.participants) {
        if (member === this.settings.member) continue;
        const needed = news || !votes.has(member);
        if (needed) this.tell(entry, member, open, send);
      }
    }
  }

  private tell(entry: Entry, to: string, wanted: boolean, send: Send): void {
    const { proposal } = entry;
    const votes = listVotes(entry.votes);
    send(to, { kind: "votes", proposal, votes, wanted });
  }

  private open(proposal: Proposal, now: number): Entry {
    const key = ballotKey(proposal.id);
    const known = this.entries.get(key);
    if (known !== undefined) return known;
    const entry: Entry = {
      proposal,
      votes: new Map(),
      receivedAt: now,
      relayAt: now,
      armTried: false,
      ownVoteTold: false,
      outcomeTold: false,
    };
    this.entries.set(key, entry);
    return entry;
  }

  private merge(entry: Entry, votes: VotesMessage["votes"]): void {
    const contradicting = mergeVotes(entry.proposal, entry.votes, votes);
    for (const member of contradicting) {
      this.settings.emit(104, {
        rule: "votes-never-change",
        detail: `${member} on ${ballotKey(entry.proposal.id)}`,
      });
    }
    this.tellOutcome(entry);
  }

  private observeEntry(entry: Entry, state: EngineMapState): void {
    if (!this.isParticipant(entry.proposal)) return;
    const yes = voteFromRegister(state, entry.proposal);
    if (yes === undefined) return;
    const { member } = this.settings;
    if (!entry.votes.has(member)) {
      const proposal = ballotKey(entry.proposal.id);
      this.settings.emit(161, { proposal, yes });
    }
    this.merge(entry, [{ member, yes }]);
  }

  private tellOutcome(entry: Entry): void {
    const outcome = outcomeOf(entry.proposal, entry.votes);
    if (outcome === undefined || entry.outcomeTold) return;
    entry.outcomeTold = true;
    const { id, version, step } = entry.proposal;
    const proposal = ballotKey(id);
    this.settings.emit(162, { proposal, outcome, version, step });
  }

  private callFor(
    entry: Entry,
    state: EngineMapState,
    mapByHash: (hash: string) => ExpertMap | undefined,
    now: number,
  ): EngineCall | undefined {
    const { proposal, votes } = entry;
    if (!sameBallot(state.group, proposal.group)) return undefined;
    const outcome = this.effectiveOutcome(entry, now);
    const { armed } = state;
    if (armed !== null && sameBallot(armed.proposal.id, proposal.id)) {
      if (outcome === "aborted") return { kind: "abort", proposal };
      const late = outcome === "committed" && !armed.committed;
      return late ? { kind: "commit", proposal } : undefined;
    }
    const settled = outcome !== undefined || votes.has(this.settings.member);
    if (settled || state.version >= proposal.version) return undefined;
    if (!this.isParticipant(proposal)) return undefined;
    return this.voteCall(entry, state, mapByHash);
  }

  private voteCall(
    entry: Entry,
    state: EngineMapState,
    mapByHash: (hash: string) => ExpertMap | undefined,
  ): EngineCall | undefined {
    const { proposal } = entry;
    const map = mapByHash(proposal.mapHash);
    if (map !== undefined && this.mayArm(entry, state)) {
      if (!this.settings.safeguards.armBeforeYes) this.voteUnarmed(entry, true);
      return { kind: "arm", proposal, map };
    }
    if (this.settings.safeguards.refuseBeforeNo) {
      // The no is told only once the register shows it. An order to arm of an
      // earlier agent that arrives later would otherwise turn it into a yes,
      // and members would act on different votes.
      return { kind: "refuse", proposal };
    }
    this.voteUnarmed(entry, false);
    return undefined;
  }

  private mayArm(entry: Entry, state: EngineMapState): boolean {
    const { proposal, armTried } = entry;
    return (
      !armTried &&
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

  private voteUnarmed(entry: Entry, yes: boolean): void {
    this.merge(entry, [{ member: this.settings.member, yes }]);
  }

  private effectiveOutcome(
    entry: Entry,
    now: number,
  ): ProposalOutcome | undefined {
    const known = outcomeOf(entry.proposal, entry.votes);
    if (known !== undefined || this.settings.safeguards.silenceIsOpen) {
      return known;
    }
    return now - entry.receivedAt > SILENCE_MS ? "aborted" : undefined;
  }

  private isParticipant(proposal: Proposal): boolean {
    const { member } = this.settings;
    return proposal.participants.some((item) => item.member === member);
  }

  private forget(state: EngineMapState): void {
    for (const [key, { proposal }] of this.entries) {
      const over =
        !sameBallot(state.group, proposal.group) ||
        state.version > proposal.version;
      if (over) this.entries.delete(key);
    }
    const surplus = this.entries.size - LARGEST_MEMORY;
    if (surplus <= 0) return;
    const settled = [...this.entries].filter(
      ([, { proposal, votes }]) =>
        outcomeOf(proposal, votes) !== undefined &&
        !sameBallot(state.armed?.proposal.id ?? null, proposal.id),
    );
    for (const [key] of settled.slice(0, surplus)) this.entries.delete(key);
  }
}
