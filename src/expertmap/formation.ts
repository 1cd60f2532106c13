/**
 * Forms a new incarnation of a group after an engine restarted or a backend
 * server was replaced.
 *
 * A formation first seals every engine, as in the prepare phase of Paxos: a
 * sealed engine no longer votes yes in the old incarnation, so the state in its
 * reply is final and determines the map. Then every engine joins. A lock-step
 * group steps only when all of its ranks have joined the same incarnation, and
 * an incarnation has exactly one map, so no step can mix maps even when several
 * formations run concurrently. The formation with the highest number wins.
 */
import {
  ballotKey,
  compareBallots,
  sameBallot,
  type Ballot,
  type Emit,
  type EngineMapState,
  type ExpertMap,
  type GroupMember,
  type JoinedMessage,
  type Random,
  type SealedMessage,
  type SendMessage,
  type UnableMessage,
} from "../internal.js";

export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/**
 * Chooses the map of the new incarnation. Survivors are the members of the
 * latest incarnation that still remember it. If all of them voted yes on a
 * proposal, it may have been committed and its map is chosen. A commit needs a
 * yes of every member, so one survivor without a yes proves that there was
 * none. Without survivors the map is `initial`.
 */
export function chooseMap(
  replies: readonly SealedMessage[],
  initial: VersionedMap,
): VersionedMap {
  const formed = replies.flatMap(({ group }) => group ?? []);
  const first = formed.at(0);
  if (first === undefined) return initial;
  const latest = formed.reduce(
    (a, b) => (compareBallots(a, b) >= 0 ? a : b),
    first,
  );
  const survivors = replies.filter((item) => sameBallot(item.group, latest));
  const newest = survivors.reduce((a, b) => (b.version > a.version ? b : a));
  const { armed, armedMap } = newest;
  const allArmed =
    armed !== null &&
    survivors.every(
      (item) => !item.rejected && sameBallot(item.armed?.id ?? null, armed.id),
    );
  if (allArmed && armedMap !== null) {
    return { version: armed.version, map: armedMap };
  }
  const { version, map } = newest;
  return map === null ? initial : { version, map };
}

export interface FormationSettings {
  readonly member: string;
  readonly agent: string;
  readonly random: Random;
  readonly emit: Emit;
  /**
   * Whether a proposal that may have been committed takes effect; false only in
   * a fuzzer mutation.
   */
  readonly mayGoForward: boolean;
}

interface SealingPhase {
  readonly kind: "sealing";
  readonly formation: Ballot;
  readonly members: readonly GroupMember[];
  readonly replies: Map<string, SealedMessage>;
  sendAt: number;
}

interface JoiningPhase {
  readonly kind: "joining";
  readonly formation: Ballot;
  readonly members: readonly GroupMember[];
  readonly chosen: VersionedMap;
  readonly joined: Set<string>;
  sendAt: number;
}

/**
 * Another agent's formation counts as ended after this time without a message.
 */
const FORMATION_QUIET_MS = 500;
/**
 * Staggers the starts of the members' formations so that usually only one
 * runs.
 */
const STAGGER_MS = 200;
const RESEND_INTERVAL_MS = 100;
/**
 * An engine without progress for this time counts as stalled, and its agent
 * sends its incarnation to the other members. It is longer than usual steps,
 * but a step may take longer: the proposer assumes up to 1 s. The message then
 * has no effect on members of the same incarnation.
 */
const STALL_TIMEOUT_MS = 500;
const STALL_REPORT_INTERVAL_MS = 200;

export class GroupFormation {
  private phase: SealingPhase | JoiningPhase | undefined;
  private expectedMembers: readonly GroupMember[] = [];
  private initial: VersionedMap;
  private highestNumber = 0;
  private startAt: number | undefined;
  /** Incarnations of other stalled members while this engine is stalled. */
  private readonly stalledMembers = new Map<string, Ballot | null>();
  private lastProgress: EngineMapState | undefined;
  private lastProgressAt = 0;
  private nextStallReportAt = 0;

  private constructor(
    private readonly settings: FormationSettings,
    initial: VersionedMap,
  ) {
    this.initial = initial;
  }

  static create(
    settings: FormationSettings,
    initial: VersionedMap,
  ): GroupFormation {
    return new GroupFormation(settings, initial);
  }

  /** Sets the members that the group should have; each rank occurs once. */
  setMembers(members: readonly GroupMember[]): void {
    if (sameMembers(members, this.expectedMembers)) return;
    this.expectedMembers = members;
    this.phase = undefined;
  }

  /** Sets the map to use when no engine has one; normally the recorded map. */
  setInitial(initial: VersionedMap): void {
    this.initial = initial;
  }

  /** Records that a formation is running, possibly of another agent. */
  observeFormation(formation: Ballot, now: number): void {
    this.highestNumber = Math.max(this.highestNumber, formation.number);
    if (formation.author === this.settings.agent) return;
    this.startAt = now + this.startDelay();
    if (this.phase === undefined) return;
    const isSuperseded = compareBallots(formation, this.phase.formation) > 0;
    if (isSuperseded) this.phase = undefined;
  }

  receive(
    from: string,
    message: SealedMessage | JoinedMessage | UnableMessage,
    now: number,
  ): void {
    const { phase } = this;
    if (phase === undefined) return;
    if (!sameBallot(message.formation, phase.formation)) {
      this.observeFormation(message.formation, now);
      return;
    }
    if (message.kind === "unable") this.phase = undefined;
    if (message.kind === "sealed" && phase.kind === "sealing") {
      phase.replies.set(from, message);
      if (phase.replies.size === phase.members.length)
        this.startJoining(phase, now);
    }
    if (message.kind === "joined" && phase.kind === "joining") {
      phase.joined.add(from);
      if (phase.joined.size < phase.members.length) return;
      this.phase = undefined;
      // The last state read from this engine may predate its join. Starting
      // another formation on it would end every proposal in the new group.
      this.startAt = undefined;
    }
  }

  /**
   * Another member is stalled. If it belongs to another incarnation than this
   * engine, both would wait for each other forever and a formation is needed. A
   * group whose steps are shorter than `STALL_TIMEOUT_MS` doesn't send this
   * message.
   */
  receiveStanding(from: string, group: Ballot | null): void {
    this.stalledMembers.set(from, group);
  }

  tick(state: EngineMapState, now: number, send: SendMessage): void {
    this.reportStall(state, now, send);
    if (this.phase === undefined && !this.isNeeded(state)) {
      this.startAt = undefined;
      return;
    }
    if (this.phase === undefined) {
      this.startAt ??= now + this.startDelay();
      if (now < this.startAt) return;
      this.startSealing(state, now);
    }
    this.resend(now, send);
  }

  private isNeeded(state: EngineMapState): boolean {
    const { expectedMembers, settings } = this;
    if (!expectedMembers.some(({ member }) => member === settings.member)) {
      return false;
    }
    if (state.group === null) return true;
    const isSealedToOther = !sameBallot(state.group, state.sealed);
    if (isSealedToOther || !sameMembers(state.members, expectedMembers))
      return true;
    return [...this.stalledMembers].some(
      ([member, group]) =>
        expectedMembers.some((item) => item.member === member) &&
        !sameBallot(group, state.group),
    );
  }

  private reportStall(
    state: EngineMapState,
    now: number,
    send: SendMessage,
  ): void {
    const { lastProgress } = this;
    const isUnchanged =
      lastProgress?.step === state.step &&
      sameBallot(lastProgress.group, state.group);
    if (!isUnchanged) {
      this.lastProgress = state;
      this.lastProgressAt = now;
      this.stalledMembers.clear();
    }
    if (
      now < this.lastProgressAt + STALL_TIMEOUT_MS ||
      now < this.nextStallReportAt
    )
      return;
    this.nextStallReportAt = now + STALL_REPORT_INTERVAL_MS;
    for (const { member } of this.expectedMembers) {
      if (member === this.settings.member) continue;
      send(member, { kind: "standing", group: state.group });
    }
  }

  private startSealing(state: EngineMapState, now: number): void {
    this.highestNumber = Math.max(this.highestNumber, state.sealed.number) + 1;
    const formation = {
      number: this.highestNumber,
      author: this.settings.agent,
    };
    const members = this.expectedMembers;
    const replies = new Map<string, SealedMessage>();
    this.phase = { kind: "sealing", formation, members, replies, sendAt: now };
    this.settings.emit(166, {
      formation: ballotKey(formation),
      members: members.length,
    });
  }

  private startJoining(phase: SealingPhase, now: number): void {
    const { formation, members } = phase;
    const replies = [...phase.replies.values()].map((reply) =>
      this.settings.mayGoForward ? reply : { ...reply, armed: null },
    );
    const chosen = chooseMap(replies, this.initial);
    const joined = new Set<string>();
    this.phase = {
      kind: "joining",
      formation,
      members,
      chosen,
      joined,
      sendAt: now,
    };
  }

  private resend(now: number, send: SendMessage): void {
    const { phase } = this;
    if (phase === undefined || now < phase.sendAt) return;
    phase.sendAt = now + RESEND_INTERVAL_MS;
    const { formation, members } = phase;
    for (const { member } of members) {
      if (phase.kind === "sealing") {
        if (phase.replies.has(member)) continue;
        send(member, { kind: "seal", formation });
      } else {
        // Members that have joined get it too: it keeps them from starting a
        // formation while another member still fetches weights.
        send(member, { kind: "join", formation, members, ...phase.chosen });
      }
    }
  }

  private startDelay(): number {
    const { member, random } = this.settings;
    const index = this.expectedMembers.findIndex(
      (item) => item.member === member,
    );
    return FORMATION_QUIET_MS + (Math.max(0, index) + random()) * STAGGER_MS;
  }
}

function sameMembers(
  a: readonly GroupMember[],
  b: readonly GroupMember[],
): boolean {
  if (a.length !== b.length) return false;
  return a.every(({ member, ranks }) => {
    const other = b.find((item) => item.member === member)?.ranks ?? [];
    return (
      other.length === ranks.length &&
      ranks.every((rank) => other.includes(rank))
    );
  });
}
