/**
 * Forms a group anew: after an engine started again, or when a backend server
 * took another's place.
 *
 * A formation first has every engine promise itself to it (seal): from then on
 * no engine votes yes in the old incarnation. What the engines tell with the
 * promise is therefore final, and the map follows from it. Then every engine
 * joins. A lock-step group steps only when all of its ranks have joined one and
 * the same incarnation, and an incarnation has one map, so no step can mix maps
 * however many formations run at once; the highest number wins.
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
  type Send,
  type UnableMessage,
} from "../internal.js";

/** A map and its version. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/**
 * The map that the new incarnation takes. A proposal that may have been
 * committed goes forward: it needed the yes of every member, so one survivor
 * without it proves that there was no commit. Without survivors the map comes
 * from what was recorded, else `initial`.
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
  const everyone =
    armed !== null &&
    survivors.every(
      (item) => !item.rejected && sameBallot(item.armed?.id ?? null, armed.id),
    );
  if (everyone && armedMap !== null) {
    return { version: armed.version, map: armedMap };
  }
  const { version, map } = newest;
  return map === null ? initial : { version, map };
}

export interface FormerSettings {
  readonly member: string;
  readonly agent: string;
  readonly random: Random;
  readonly emit: Emit;
  /** Off only in the fuzzer's mutation. */
  readonly mayGoForward: boolean;
}

interface Sealing {
  readonly kind: "sealing";
  readonly formation: Ballot;
  readonly members: readonly GroupMember[];
  readonly replies: Map<string, SealedMessage>;
  sendAt: number;
}

interface Joining {
  readonly kind: "joining";
  readonly formation: Ballot;
  readonly members: readonly GroupMember[];
  readonly chosen: VersionedMap;
  readonly joined: Set<string>;
  sendAt: number;
}

/** A formation that another agent runs is left alone while it is heard of. */
const QUIET_MS = 500;
/** Spreads the starts, so that one formation runs where one is enough. */
const STAGGER_MS = 200;
const RESEND_MS = 100;
/** Longer than any step: members compare their incarnations after it. */
const STANDING_MS = 500;
const STANDING_INTERVAL_MS = 200;

export class GroupFormer {
  private phase: Sealing | Joining | undefined;
  private expected: readonly GroupMember[] = [];
  private initial: VersionedMap;
  private highest = 0;
  private startAt: number | undefined;
  /** Incarnations of members whose steps stand still, as those of this one. */
  private readonly standing = new Map<string, Ballot | null>();
  private progress: EngineMapState | undefined;
  private progressAt = 0;
  private standingAt = 0;

  private constructor(
    private readonly settings: FormerSettings,
    initial: VersionedMap,
  ) {
    this.initial = initial;
  }

  static create(settings: FormerSettings, initial: VersionedMap): GroupFormer {
    return new GroupFormer(settings, initial);
  }

  /** Who the group should consist of; every rank is in it once. */
  setMembers(members: readonly GroupMember[]): void {
    if (sameMembers(members, this.expected)) return;
    this.expected = members;
    this.phase = undefined;
  }

  /** The map of a group of which no engine remembers one. */
  setInitial(initial: VersionedMap): void {
    this.initial = initial;
  }

  /** Another agent's formation was heard of. */
  heard(formation: Ballot, now: number): void {
    this.highest = Math.max(this.highest, formation.number);
    if (formation.author === this.settings.agent) return;
    this.startAt = now + this.delay();
    if (this.phase === undefined) return;
    const overtaken = compareBallots(formation, this.phase.formation) > 0;
    if (overtaken) this.phase = undefined;
  }

  receive(
    from: string,
    message: SealedMessage | JoinedMessage | UnableMessage,
    now: number,
  ): void {
    const { phase } = this;
    if (phase === undefined) return;
    if (!sameBallot(message.formation, phase.formation)) {
      this.heard(message.formation, now);
      return;
    }
    if (message.kind === "unable") this.phase = undefined;
    if (message.kind === "sealed" && phase.kind === "sealing") {
      phase.replies.set(from, message);
      if (phase.replies.size === phase.members.length) this.join(phase, now);
    }
    if (message.kind === "joined" && phase.kind === "joining") {
      phase.joined.add(from);
      if (phase.joined.size < phase.members.length) return;
      this.phase = undefined;
      // What this engine last told may be older than its joining, and a second
      // formation would end every proposal in the group that has just formed.
      this.startAt = undefined;
    }
  }

  /**
   * Another member's steps stand still too. When it is of another incarnation,
   * each would wait for the other for ever; a group that steps sends none.
   */
  heardStanding(from: string, group: Ballot | null): void {
    this.standing.set(from, group);
  }

  tick(state: EngineMapState, now: number, send: Send): void {
    this.watchProgress(state, now, send);
    if (this.phase === undefined && !this.isNeeded(state)) {
      this.startAt = undefined;
      return;
    }
    if (this.phase === undefined) {
      this.startAt ??= now + this.delay();
      if (now < this.startAt) return;
      this.seal(state, now);
    }
    this.resend(now, send);
  }

  private isNeeded(state: EngineMapState): boolean {
    const { expected, settings } = this;
    if (!expected.some(({ member }) => member === settings.member)) {
      return false;
    }
    if (state.group === null) return true;
    const promised = !sameBallot(state.group, state.sealed);
    if (promised || !sameMembers(state.members, expected)) return true;
    return [...this.standing].some(
      ([member, group]) =>
        expected.some((item) => item.member === member) &&
        !sameBallot(group, state.group),
    );
  }

  private watchProgress(state: EngineMapState, now: number, send: Send): void {
    const { progress } = this;
    const stands =
      progress?.step === state.step && sameBallot(progress.group, state.group);
    if (!stands) {
      this.progress = state;
      this.progressAt = now;
      this.standing.clear();
    }
    if (now < this.progressAt + STANDING_MS || now < this.standingAt) return;
    this.standingAt = now + STANDING_INTERVAL_MS;
    for (const { member } of this.expected) {
      if (member === this.settings.member) continue;
      send(member, { kind: "standing", group: state.group });
    }
  }

  private seal(state: EngineMapState, now: number): void {
    this.highest = Math.max(this.highest, state.sealed.number) + 1;
    const formation = { number: this.highest, author: this.settings.agent };
    const members = this.expected;
    const replies = new Map<string, SealedMessage>();
    this.phase = { kind: "sealing", formation, members, replies, sendAt: now };
    this.settings.emit(166, {
      formation: ballotKey(formation),
      members: members.length,
    });
  }

  private join(phase: Sealing, now: number): void {
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

  private resend(now: number, send: Send): void {
    const { phase } = this;
    if (phase === undefined || now < phase.sendAt) return;
    phase.sendAt = now + RESEND_MS;
    const { formation, members } = phase;
    for (const { member } of members) {
      if (phase.kind === "sealing") {
        if (phase.replies.has(member)) continue;
        send(member, { kind: "seal", formation });
      } else {
        // Also to those that joined: hearing of it keeps them from starting
        // a formation of their own while another still fetches its weights.
        send(member, { kind: "join", formation, members, ...phase.chosen });
      }
    }
  }

  private delay(): number {
    const { member, random } = this.settings;
    const place = this.expected.findIndex((item) => item.member === member);
    return QUIET_MS + (Math.max(0, place) + random()) * STAGGER_MS;
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
