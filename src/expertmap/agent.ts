/**
 * State machine of one agent's part in expert maps. Its inputs are messages,
 * answers of the engine and the time; its outputs are effects. It performs no
 * I/O itself.
 *
 * At most one engine call is in flight, and each answer carries the engine's
 * state, so every decision is based on the engine's latest answer.
 */
import {
  ballotKey,
  GroupFormation,
  hashExpertMap,
  MapProposer,
  MapSwitch,
  sameBallot,
  MapStaging,
  StagingFetch,
  StepChecker,
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
  /** Incarnation of this agent, unique to each start. */
  readonly agent: string;
  readonly initial: VersionedMap;
  readonly fetch: FetchSettings;
  readonly emit: Emit;
  readonly random: Random;
  /** Interval between engine reads while no vote or formation is pending. */
  readonly idleReadMs: number;
  readonly safeguards: SwitchSafeguards & { readonly mayGoForward: boolean };
}

/**
 * Interval between engine reads while a vote or a formation is pending. It adds
 * to the time that a held rank waits.
 */
const BUSY_READ_INTERVAL_MS = 50;
/**
 * Wait after a failed engine call. Calls to an engine that refuses connections
 * fail immediately; without a wait the retries would keep this process busy.
 */
const ENGINE_RETRY_MS = 50;

export class GroupAgent {
  private state: EngineMapState | undefined;
  private outstanding: EngineCall | undefined;
  private lastReadAt = Number.NEGATIVE_INFINITY;
  private nextCallAt = Number.NEGATIVE_INFINITY;
  private pendingSeal: { formation: Ballot; from: Set<string> } | undefined;
  private lastReadMap: ExpertMap | undefined;
  private effects: MapEffect[] = [];
  private readonly mapSwitch: MapSwitch;
  private readonly proposer: MapProposer;
  private readonly formation: GroupFormation;
  private readonly staging: MapStaging;
  private readonly stagingFetch: StagingFetch;
  private readonly stepChecker = StepChecker.create();

  private constructor(private readonly settings: GroupAgentSettings) {
    const { member, agent, random, emit, safeguards } = settings;
    this.mapSwitch = MapSwitch.create({ member, agent, emit, safeguards });
    this.proposer = MapProposer.create(agent, this.mapSwitch);
    this.staging = MapStaging.create(member, agent);
    const fetch = WeightFetch.create(settings.fetch, random);
    this.stagingFetch = StagingFetch.create(member, this.staging, fetch);
    const { mayGoForward } = safeguards;
    this.formation = GroupFormation.create(
      { member, agent, random, emit, mayGoForward },
      settings.initial,
    );
  }

  static create(settings: GroupAgentSettings): GroupAgent {
    return new GroupAgent(settings);
  }

  /** State in the engine's latest answer; undefined before the first one. */
  get engineState(): EngineMapState | undefined {
    return this.state;
  }

  /** The engine's current map; undefined until its content was read. */
  get mapInForce(): VersionedMap | undefined {
    const { state, lastReadMap } = this;
    if (lastReadMap === undefined || state === undefined) return undefined;
    const isCurrent = hashExpertMap(lastReadMap) === state.mapHash;
    return isCurrent ? { version: state.version, map: lastReadMap } : undefined;
  }

  get fetchedBytes(): number {
    return this.stagingFetch.totalBytes;
  }

  setMembers(members: readonly GroupMember[]): void {
    this.formation.setMembers(members);
  }

  setInitial(initial: VersionedMap): void {
    this.formation.setInitial(initial);
  }

  /** Starts a proposal; its end is reported as an `ended` effect. */
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
    if (this.state !== undefined)
      this.handleMessage(from, message, this.state, now);
    return this.advanceAndTakeEffects(now);
  }

  tick(now: number): readonly MapEffect[] {
    return this.advanceAndTakeEffects(now);
  }

  engineAnswered(answer: EngineAnswer, now: number): readonly MapEffect[] {
    const call = this.outstanding;
    this.outstanding = undefined;
    this.lastReadAt = now;
    this.lastReadMap = answer.map ?? this.lastReadMap;
    this.updateState(answer.state, now);
    if (call?.kind === "arm") this.mapSwitch.armAnswered(call.proposal);
    if (call?.kind === "seal") this.sendSealed(answer);
    if (call?.kind === "stage" && answer.staged !== null) {
      this.stagingFetch.start(call, answer.staged);
    }
    return this.advanceAndTakeEffects(now);
  }

  /** The call may have taken effect; the state in the next answer shows it. */
  engineFailed(now: number): readonly MapEffect[] {
    this.outstanding = undefined;
    this.nextCallAt = now + ENGINE_RETRY_MS;
    return this.advanceAndTakeEffects(now);
  }

  partArrived(
    part: WeightPart,
    heldBytes: number,
    now: number,
  ): readonly MapEffect[] {
    this.stagingFetch.partArrived(part, heldBytes);
    return this.advanceAndTakeEffects(now);
  }

  partFailed(
    part: WeightPart,
    retryAfterMs: number,
    now: number,
  ): readonly MapEffect[] {
    this.stagingFetch.partFailed(part, now, retryAfterMs);
    return this.advanceAndTakeEffects(now);
  }

  /** Checks step reports of this engine's ranks against the committed maps. */
  checkSteps(reports: readonly StepReport[]): void {
    this.reportViolations(this.stepChecker.check(reports));
  }

  private handleMessage(
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
        this.mapSwitch.receive(from, message, state, now, send);
        return;
      case "seal":
        this.formation.observeFormation(message.formation, now);
        this.queueSeal(from, message.formation);
        return;
      case "join":
        this.formation.observeFormation(message.formation, now);
        if (sameBallot(state.group, message.formation)) {
          send(from, { kind: "joined", formation: message.formation });
        } else if (!this.staging.join(message, state)) {
          send(from, { kind: "unable", formation: message.formation });
        }
        return;
      case "standing":
        this.formation.receiveStanding(from, message.group);
        return;
      case "sealed":
      case "joined":
      case "unable":
        this.formation.receive(from, message, now);
        return;
      default:
        unreachable(message);
    }
  }

  private updateState(state: EngineMapState, now: number): void {
    const previous = this.state;
    this.state = state;
    this.mapSwitch.observe(state, now);
    this.reportViolations(this.stepChecker.observe(state));
    const isChanged =
      state.group !== null &&
      (previous?.version !== state.version ||
        !sameBallot(previous.group, state.group));
    if (isChanged) {
      const { version, mapHash, since } = state;
      const group = ballotKey(state.group);
      this.settings.emit(163, { group, version, mapHash, since });
    }
    if (state.heldMs > 0 && (previous?.heldMs ?? 0) === 0) {
      this.settings.emit(164, { step: state.step, heldMs: state.heldMs });
    }
  }

  private queueSeal(from: string, formation: Ballot): void {
    const pending = this.pendingSeal;
    if (pending !== undefined && sameBallot(pending.formation, formation)) {
      pending.from.add(from);
    } else this.pendingSeal = { formation, from: new Set([from]) };
  }

  private sendSealed(answer: EngineAnswer): void {
    const { state, map, armedMap } = answer;
    const pending = this.pendingSeal;
    this.pendingSeal = undefined;
    const armed = state.armed?.proposal ?? null;
    const message: SealedMessage = {
      kind: "sealed",
      formation: state.sealed,
      group: state.group,
      version: state.version,
      map,
      armed,
      armedMap,
      rejected: armed !== null && this.mapSwitch.isRejected(armed),
    };
    for (const to of pending?.from ?? []) this.send(0)(to, message);
  }

  private advanceAndTakeEffects(now: number): readonly MapEffect[] {
    if (this.state !== undefined) this.advance(this.state, now);
    if (this.outstanding === undefined) this.callEngine(now);
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  private advance(state: EngineMapState, now: number): void {
    const send = this.send(now);
    this.formation.tick(state, now, send);
    const end = this.proposer.tick(state, now, send);
    if (end !== undefined) this.effects.push({ kind: "ended", ...end });
    this.mapSwitch.tick(now, send);
    const part = this.stagingFetch.nextPart(state, now);
    if (part !== undefined) this.effects.push({ kind: "fetch", part });
  }

  private callEngine(now: number): void {
    const call = this.nextCall(now);
    if (call === undefined) return;
    this.outstanding = call;
    this.effects.push({ kind: "engine", call });
  }

  private nextCall(now: number): EngineCall | undefined {
    if (now < this.nextCallAt) return undefined;
    const { state, pendingSeal, mapSwitch, staging } = this;
    if (state === undefined) return this.readCall(now);
    if (pendingSeal !== undefined) {
      return { kind: "seal", formation: pendingSeal.formation };
    }
    const mapByHash = (hash: string): ExpertMap | undefined =>
      staging.mapByHash(hash);
    return (
      mapSwitch.nextCall(state, mapByHash, now) ??
      staging.nextCall(state) ??
      this.stagingFetch.resumeCall(state) ??
      this.readCall(now)
    );
  }

  private readCall(now: number): EngineCall | undefined {
    const { state, settings } = this;
    const isBusy =
      state?.armed !== null || !sameBallot(state.group, state.sealed);
    const interval = isBusy ? BUSY_READ_INTERVAL_MS : settings.idleReadMs;
    if (now < this.lastReadAt + interval) return undefined;
    const isFormed = (state?.group ?? null) !== null;
    const withMap = isFormed && state?.mapHash !== this.lastReadMapHash();
    return { kind: "read", withMap };
  }

  private lastReadMapHash(): string {
    return this.lastReadMap === undefined
      ? ""
      : hashExpertMap(this.lastReadMap);
  }

  private send(now: number): (to: string, message: MapMessage) => void {
    return (to, message) => {
      if (to !== this.settings.member) {
        this.effects.push({ kind: "send", to, message });
      } else if (this.state !== undefined) {
        this.handleMessage(to, message, this.state, now);
      }
    };
  }

  private reportViolations(details: readonly string[]): void {
    for (const detail of details) {
      this.settings.emit(104, { rule: "one-map-in-every-step", detail });
    }
  }
}
