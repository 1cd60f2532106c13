/**
 * Puts one map change to the group: has the weights staged everywhere first,
 * then picks a step soon after, and proposes the change for it.
 *
 * Load: a change moves gigabytes at the weight store's rate, for seconds to
 * minutes. A step picked before that would be a guess: too near, and every rank
 * would hold at it; too far, and the new map would come into force long after
 * the demand that it was made for. After staging only the votes are left, and
 * they take milliseconds.
 */
import { Left, Right, type Either } from "purify-ts";
import {
  failure,
  hashMap,
  higherBallot,
  sameBallot,
  type ApricotdeckError,
  type Ballot,
  type EngineMapState,
  type ExpertMap,
  type MapSwitch,
  type Proposal,
  type ProposalEnd,
  type Send,
  type StagedMessage,
} from "../internal.js";

/**
 * Time from the proposal to its step. The votes need one exchange with every
 * member and one order to every engine; within this time they survive two lost
 * messages at the relay interval of 50 ms. Longer only delays the new map.
 */
export const VOTE_WINDOW_MS = 300;
const SHORTEST_VOTE_STEPS = 8;
/** A lost message delays staging by this long. */
const RESEND_MS = 100;
/** After the step nobody can still vote yes; then only facts are missing. */
const LONGEST_STEP_MS = 1_000;

interface Staging {
  readonly kind: "staging";
  readonly group: Ballot;
  readonly version: number;
  readonly map: ExpertMap;
  readonly members: readonly string[];
  readonly deadline: number;
  readonly replies: Map<string, StagedReply>;
  sendAt: number;
}

interface StagedReply {
  readonly message: StagedMessage;
  readonly at: number;
}

interface Voting {
  readonly kind: "voting";
  readonly proposal: Proposal;
}

export interface ProposerEnd {
  readonly mapHash: string;
  readonly end: ProposalEnd;
}

export class MapProposer {
  private phase: Staging | Voting | undefined;
  private highest = 0;

  private constructor(
    private readonly agent: string,
    private readonly votes: MapSwitch,
  ) {}

  static create(agent: string, votes: MapSwitch): MapProposer {
    return new MapProposer(agent, votes);
  }

  start(
    map: ExpertMap,
    state: EngineMapState | undefined,
    deadline: number,
    now: number,
  ): Either<ApricotdeckError, void> {
    if (this.phase !== undefined) return Left(failure(1603));
    if (state?.group === null || state === undefined) {
      return Left(failure(1606));
    }
    this.phase = {
      kind: "staging",
      group: state.group,
      version: state.version + 1,
      map,
      members: state.members.map(({ member }) => member),
      deadline,
      replies: new Map(),
      sendAt: now,
    };
    return Right(undefined);
  }

  receive(from: string, message: StagedMessage, now: number): void {
    const { phase } = this;
    if (phase?.kind !== "staging") return;
    if (!sameBallot(message.group, phase.group)) return;
    if (message.mapHash !== hashMap(phase.map)) return;
    phase.replies.set(from, { message, at: now });
  }

  tick(
    state: EngineMapState,
    now: number,
    send: Send,
  ): ProposerEnd | undefined {
    if (this.phase === undefined) return undefined;
    const end =
      this.phase.kind === "staging"
        ? this.stage(this.phase, state, now, send)
        : this.watch(this.phase, state);
    if (end !== undefined) this.phase = undefined;
    return end;
  }

  private stage(
    phase: Staging,
    state: EngineMapState,
    now: number,
    send: Send,
  ): ProposerEnd | undefined {
    const { group, version, map, replies, members } = phase;
    const mapHash = hashMap(map);
    if (!sameBallot(state.group, group) || state.version >= version) {
      return { mapHash, end: failure(1604) };
    }
    if (now >= phase.deadline) {
      const missing = members.filter(
        (member) => replies.get(member)?.message.complete !== true,
      );
      return { mapHash, end: failure(1602, { missing: missing.join(",") }) };
    }
    if (members.every((item) => replies.get(item)?.message.complete)) {
      this.propose(phase, state, now);
      return undefined;
    }
    if (now >= phase.sendAt) {
      phase.sendAt = now + RESEND_MS;
      for (const member of members) {
        send(member, { kind: "stage", group, version, map });
      }
    }
    return undefined;
  }

  private propose(phase: Staging, state: EngineMapState, now: number): void {
    const { group, version, map, members, replies } = phase;
    const all = members.flatMap((item) => replies.get(item) ?? []);
    const floor = all
      .map(({ message }) => message.floor)
      .reduce(higherBallot, state.floor);
    this.highest = Math.max(this.highest, floor.number) + 1;
    const proposal: Proposal = {
      id: { number: this.highest, author: this.agent },
      group,
      version,
      mapHash: hashMap(map),
      step: pickStep(all, state, now),
      participants: members.map((member) => ({
        member,
        agent: replies.get(member)?.message.agent ?? "",
      })),
    };
    this.votes.propose(proposal, now);
    this.phase = { kind: "voting", proposal };
  }

  private watch(
    { proposal }: Voting,
    state: EngineMapState,
  ): ProposerEnd | undefined {
    const { mapHash } = proposal;
    const outcome = this.votes.outcome(proposal);
    const left = !sameBallot(state.group, proposal.group);
    // Not before the map is in force: whoever proposes next starts from it.
    const ahead = !left && state.version < proposal.version;
    if (outcome === "committed" && ahead) return undefined;
    if (outcome !== undefined) return { mapHash, end: outcome };
    const overtaken = state.version > proposal.version;
    return left || overtaken ? { mapHash, end: failure(1604) } : undefined;
  }
}

function pickStep(
  replies: readonly StagedReply[],
  state: EngineMapState,
  now: number,
): number {
  const stepMs = Math.min(
    ...[...replies.map(({ message }) => message.stepMs), state.stepMs]
      .filter((value) => value > 0)
      .map((value) => Math.min(value, LONGEST_STEP_MS)),
    LONGEST_STEP_MS,
  );
  const present = replies.map(
    ({ message, at }) => message.step + (now - at) / stepMs,
  );
  const ahead = Math.max(SHORTEST_VOTE_STEPS, VOTE_WINDOW_MS / stepMs);
  return Math.ceil(Math.max(state.step, ...present) + ahead);
}
