/**
 * Proposes one map change to the group: first has every member stage the
 * weights, then picks a step shortly ahead and proposes the switch for it.
 *
 * A change moves gigabytes at the weight store's rate, which takes seconds to
 * minutes. A step picked before staging would be a guess: too early, and every
 * rank would hold at it; too late, and the map would take effect long after the
 * demand it was planned for. After staging only the votes remain, which take
 * milliseconds.
 */
import { Left, Right, type Either } from "purify-ts";
import {
  failure,
  hashExpertMap,
  higherBallot,
  sameBallot,
  type ApricotdeckError,
  type Ballot,
  type EngineMapState,
  type ExpertMap,
  type MapSwitch,
  type Proposal,
  type ProposalResult,
  type SendMessage,
  type StagedMessage,
} from "../internal.js";

/**
 * Time from the proposal to its step. The votes take one exchange with every
 * member and one call to every engine; this time also tolerates two lost
 * messages at the relay interval of 50 ms. A longer time only delays the map.
 */
export const VOTE_WINDOW_MS = 300;
const MINIMUM_VOTE_STEPS = 8;
/** Interval between stage requests; a lost message delays staging by it. */
const RESEND_INTERVAL_MS = 100;
/**
 * Longest step assumed when the step of a switch is picked; also assumed while
 * no step duration is known.
 */
const MAXIMUM_STEP_MS = 1_000;

interface StagingPhase {
  readonly kind: "staging";
  readonly group: Ballot;
  readonly version: number;
  readonly map: ExpertMap;
  readonly members: readonly string[];
  readonly deadline: number;
  readonly replies: Map<string, ReceivedStaged>;
  sendAt: number;
}

interface ReceivedStaged {
  readonly message: StagedMessage;
  readonly at: number;
}

interface VotingPhase {
  readonly kind: "voting";
  readonly proposal: Proposal;
}

export interface EndedProposal {
  readonly mapHash: string;
  readonly end: ProposalResult;
}

export class MapProposer {
  private phase: StagingPhase | VotingPhase | undefined;
  private highestNumber = 0;

  private constructor(
    private readonly agent: string,
    private readonly mapSwitch: MapSwitch,
  ) {}

  static create(agent: string, mapSwitch: MapSwitch): MapProposer {
    return new MapProposer(agent, mapSwitch);
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
    if (message.mapHash !== hashExpertMap(phase.map)) return;
    phase.replies.set(from, { message, at: now });
  }

  tick(
    state: EngineMapState,
    now: number,
    send: SendMessage,
  ): EndedProposal | undefined {
    if (this.phase === undefined) return undefined;
    const end =
      this.phase.kind === "staging"
        ? this.advanceStaging(this.phase, state, now, send)
        : this.checkOutcome(this.phase, state);
    if (end !== undefined) this.phase = undefined;
    return end;
  }

  private advanceStaging(
    phase: StagingPhase,
    state: EngineMapState,
    now: number,
    send: SendMessage,
  ): EndedProposal | undefined {
    const { group, version, map, replies, members } = phase;
    const mapHash = hashExpertMap(map);
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
      phase.sendAt = now + RESEND_INTERVAL_MS;
      for (const member of members) {
        send(member, { kind: "stage", group, version, map });
      }
    }
    return undefined;
  }

  private propose(
    phase: StagingPhase,
    state: EngineMapState,
    now: number,
  ): void {
    const { group, version, map, members, replies } = phase;
    const received = members.flatMap((item) => replies.get(item) ?? []);
    const floor = received
      .map(({ message }) => message.floor)
      .reduce(higherBallot, state.floor);
    this.highestNumber = Math.max(this.highestNumber, floor.number) + 1;
    const proposal: Proposal = {
      id: { number: this.highestNumber, author: this.agent },
      group,
      version,
      mapHash: hashExpertMap(map),
      step: pickStep(received, state, now),
      participants: members.map((member) => ({
        member,
        agent: replies.get(member)?.message.agent ?? "",
      })),
    };
    this.mapSwitch.propose(proposal, now);
    this.phase = { kind: "voting", proposal };
  }

  private checkOutcome(
    { proposal }: VotingPhase,
    state: EngineMapState,
  ): EndedProposal | undefined {
    const { mapHash } = proposal;
    const outcome = this.mapSwitch.outcome(proposal);
    const hasLeftGroup = !sameBallot(state.group, proposal.group);
    // A commit is reported only once the map is in force, because the next
    // proposal is based on it.
    const isNotYetInForce = !hasLeftGroup && state.version < proposal.version;
    if (outcome === "committed" && isNotYetInForce) return undefined;
    if (outcome !== undefined) return { mapHash, end: outcome };
    const isSuperseded = state.version > proposal.version;
    return hasLeftGroup || isSuperseded
      ? { mapHash, end: failure(1604) }
      : undefined;
  }
}

function pickStep(
  replies: readonly ReceivedStaged[],
  state: EngineMapState,
  now: number,
): number {
  const stepMs = Math.min(
    ...[...replies.map(({ message }) => message.stepMs), state.stepMs]
      .filter((value) => value > 0)
      .map((value) => Math.min(value, MAXIMUM_STEP_MS)),
    MAXIMUM_STEP_MS,
  );
  const currentSteps = replies.map(
    ({ message, at }) => message.step + (now - at) / stepMs,
  );
  const stepsAhead = Math.max(MINIMUM_VOTE_STEPS, VOTE_WINDOW_MS / stepMs);
  return Math.ceil(Math.max(state.step, ...currentSteps) + stepsAhead);
}
