/**
 * The expert map side of one agent: takes messages, answers of its engine and
 * the time, and gives effects. It does no input or output itself.
 *
 * One order to the engine is out at a time, and each answer carries the
 * engine's state, so every decision rests on what the engine said last.
 */
import {
  ballotKey,
  GroupFormer,
  hashMap,
  MapProposer,
  MapSwitch,
  sameBallot,
  Staging,
  StagingFetch,
  StepCheck,
  unreachable,
  WeightFetch,
  type ApricotdeckError,
  type Ballot,
  type Emit,
  type EngineAnswer,
  type EngineCall,
  type EngineMapState,
  type ExpertMap,
  type FetchSettings,
  type GroupMember,
  type MapEffect,
  type MapMessage,
  type Random,
  type SealedMessage,
  type StepReport,
  type SwitchSafeguards,
  type VersionedMap,
  type WeightPart,
} from "../internal.js";
import type { Either } from "purify-ts";

export interface GroupAgentSettings {
  readonly member: string;
  /** Incarnation of this agent, new for every start. */
  readonly agent: string;
  readonly initial: VersionedMap;
  readonly fetch: FetchSettings;
  readonly emit: Emit;
  readonly random: Random;
  /** Time between reads of an engine of which nothing is expected. */
  readonly idleReadMs: number;
  readonly safeguards: SwitchSafeguards & { readonly mayGoForward: boolean };
}

/**
 * The engine is read this often while something of it is awaited: a vote, the
 * end of a formation. A held rank learns of its state this much later.
 */
const READ_INTERVAL_MS = 50;
/**
 * An engine that refuses connections fails at once; asked again at once, it
 * would keep this process from doing anything else.
 */
const RETRY_MS = 50;

export class GroupAgent {
  private state: EngineMapState | undefined;
  private outstanding: EngineCall | undefined;
  private readAt = Number.NEGATIVE_INFINITY;
  private callAt = Number.NEGATIVE_INFINITY;
  private sealAsked: { formation: Ballot; from: Set<string> } | undefined;
  private inForce: ExpertMap | undefined;
  private effects: MapEffect[] = [];
  private readonly votes: MapSwitch;
  private readonly proposer: MapProposer;
  private readonly former: GroupFormer;
  private readonly staging: Staging;
  private readonly fetch: StagingFetch;
  private readonly steps = StepCheck.create();

  private constructor(private readonly settings: GroupAgentSettings) {
    const { member, agent, random, emit, safeguards } = settings;
    this.votes = MapSwitch.create({ member, agent, emit, safeguards });
    this.proposer = MapProposer.create(agent, this.votes);
    this.staging = Staging.create(member, agent);
    const fetch = WeightFetch.create(settings.fetch, random);
    this.fetch = StagingFetch.create(member, this.staging, fetch);
    const { mayGoForward } = safeguards;
    this.former = GroupFormer.create(
      { member, agent, random, emit, mayGoForward },
      settings.initial,
    );
  }

  static create(settings: GroupAgentSettings): GroupAgent {
    return new GroupAgent(settings);
  }

  /** What the engine said last; undefined before its first answer. */
  get engineState(): EngineMapState | undefined {
    return this.state;
  }

  /** The map that the engine runs on; undefined until its body was read. */
  get mapInForce(): VersionedMap | undefined {
    const { state, inForce } = this;
    if (inForce === undefined || state === undefined) return undefined;
    const same = hashMap(inForce) === state.mapHash;
    return same ? { version: state.version, map: inForce } : undefined;
  }

  get fetchedBytes(): number {
    return this.fetch.totalBytes;
  }

  setMembers(members: readonly GroupMember[]): void {
    this.former.setMembers(members);
  }

  setInitial(initial: VersionedMap): void {
    this.former.setInitial(initial);
  }

  /** Puts a change to the group; its end comes as an `ended` effect. */
  proposeMap(
    map: ExpertMap,
    deadline: number,
    now: number,
  ): Either<ApricotdeckError, void> {
    return this.proposer.start(map, this.state, deadline, now);
  }

  receive(
    from: string,
    message: MapMessage,
    now: number,
  ): readonly MapEffect[] {
    if (this.state !== undefined) this.take(from, message, this.state, now);
    return this.proceed(now);
  }

  tick(now: number): readonly MapEffect[] {
    return this.proceed(now);
  }

  engineAnswered(answer: EngineAnswer, now: number): readonly MapEffect[] {
    const call = this.outstanding;
    this.outstanding = undefined;
    this.readAt = now;
    this.inForce = answer.map ?? this.inForce;
    this.observe(answer.state, now);
    if (call?.kind === "arm") this.votes.armAnswered(call.proposal);
    if (call?.kind === "seal") this.tellSealed(answer);
    if (call?.kind === "stage" && answer.staged !== null) {
      this.fetch.start(call, answer.staged);
    }
    return this.proceed(now);
  }

  /** Whether the order took effect isn't known; the next answer tells. */
  engineFailed(now: number): readonly MapEffect[] {
    this.outstanding = undefined;
    this.callAt = now + RETRY_MS;
    return this.proceed(now);
  }

  partArrived(
    part: WeightPart,
    heldBytes: number,
    now: number,
  ): readonly MapEffect[] {
    this.fetch.arrived(part, heldBytes);
    return this.proceed(now);
  }

  partFailed(
    part: WeightPart,
    retryAfterMs: number,
    now: number,
  ): readonly MapEffect[] {
    this.fetch.failed(part, now, retryAfterMs);
    return this.proceed(now);
  }

  /** Checks reports of the own engine's ranks against the committed maps. */
  checkSteps(reports: readonly StepReport[]): void {
    this.tellViolations(this.steps.check(reports));
  }

  private take(
    from: string,
    message: MapMessage,
    state: EngineMapState,
    now: number,
  ): void {
    const send = this.send(now);
    switch (message.kind) {
      case "stage": {
        const reply = this.staging.stage(from, message, state, now);
        if (reply !== undefined) send(from, reply);
        return;
      }
      case "staged":
        this.proposer.receive(from, message, now);
        return;
      case "votes":
        this.votes.receive(from, message, state, now, send);
        return;
      case "seal":
        this.former.heard(message.formation, now);
        this.askSeal(from, message.formation);
        return;
      case "join":
        this.former.heard(message.formation, now);
        if (sameBallot(state.group, message.formation)) {
          send(from, { kind: "joined", formation: message.formation });
        } else if (!this.staging.join(message, state)) {
          send(from, { kind: "unable", formation: message.formation });
        }
        return;
      case "standing":
        this.former.heardStanding(from, message.group);
        return;
      case "sealed":
      case "joined":
      case "unable":
        this.former.receive(from, message, now);
        return;
      default:
        unreachable(message);
    }
  }

  private observe(state: EngineMapState, now: number): void {
    const previous = this.state;
    this.state = state;
    this.votes.observe(state, now);
    this.tellViolations(this.steps.observe(state));
    const changed =
      state.group !== null &&
      (previous?.version !== state.version ||
        !sameBallot(previous.group, state.group));
    if (changed) {
      const { version, mapHash, since } = state;
      const group = ballotKey(state.group);
      this.settings.emit(163, { group, version, mapHash, since });
    }
    if (state.heldMs > 0 && (previous?.heldMs ?? 0) === 0) {
      this.settings.emit(164, { step: state.step, heldMs: state.heldMs });
    }
  }

  private askSeal(from: string, formation: Ballot): void {
    const asked = this.sealAsked;
    if (asked !== undefined && sameBallot(asked.formation, formation)) {
      asked.from.add(from);
    } else this.sealAsked = { formation, from: new Set([from]) };
  }

  private tellSealed(answer: EngineAnswer): void {
    const { state, map, armedMap } = answer;
    const asked = this.sealAsked;
    this.sealAsked = undefined;
    const armed = state.armed?.proposal ?? null;
    const message: SealedMessage = {
      kind: "sealed",
      formation: state.sealed,
      group: state.group,
      version: state.version,
      map,
      armed,
      armedMap,
      rejected: armed !== null && this.votes.rejected(armed),
    };
    for (const to of asked?.from ?? []) this.send(0)(to, message);
  }

  private proceed(now: number): readonly MapEffect[] {
    if (this.state !== undefined) this.advance(this.state, now);
    if (this.outstanding === undefined) this.callEngine(now);
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  private advance(state: EngineMapState, now: number): void {
    const send = this.send(now);
    this.former.tick(state, now, send);
    const end = this.proposer.tick(state, now, send);
    if (end !== undefined) this.effects.push({ kind: "ended", ...end });
    this.votes.tick(now, send);
    const part = this.fetch.next(state, now);
    if (part !== undefined) this.effects.push({ kind: "fetch", part });
  }

  private callEngine(now: number): void {
    const call = this.nextCall(now);
    if (call === undefined) return;
    this.outstanding = call;
    this.effects.push({ kind: "engine", call });
  }

  private nextCall(now: number): EngineCall | undefined {
    if (now < this.callAt) return undefined;
    const { state, sealAsked, votes, staging } = this;
    if (state === undefined) return this.readCall(now);
    if (sealAsked !== undefined) {
      return { kind: "seal", formation: sealAsked.formation };
    }
    const mapByHash = (hash: string): ExpertMap | undefined =>
      staging.mapByHash(hash);
    return (
      votes.wantedCall(state, mapByHash, now) ??
      staging.wantedCall(state) ??
      this.fetch.resumeCall(state) ??
      this.readCall(now)
    );
  }

  private readCall(now: number): EngineCall | undefined {
    const { state, settings } = this;
    const busy =
      state?.armed !== null || !sameBallot(state.group, state.sealed);
    const interval = busy ? READ_INTERVAL_MS : settings.idleReadMs;
    if (now < this.readAt + interval) return undefined;
    const formed = (state?.group ?? null) !== null;
    const withMap = formed && state?.mapHash !== this.inForceHash();
    return { kind: "read", withMap };
  }

  private inForceHash(): string {
    return this.inForce === undefined ? "" : hashMap(this.inForce);
  }

  private send(now: number): (to: string, message: MapMessage) => void {
    return (to, message) => {
      if (to !== this.settings.member) {
        this.effects.push({ kind: "send", to, message });
      } else if (this.state !== undefined) {
        this.take(to, message, this.state, now);
      }
    };
  }

  private tellViolations(details: readonly string[]): void {
    for (const detail of details) {
      this.settings.emit(104, { rule: "one-map-in-every-step", detail });
    }
  }
}
