/**
 * Carries out what the deciding part (`GroupAgent`) asks for: orders to the
 * engine, messages to the other agents, parts of weights from the store.
 */
import {
  allSwitchSafeguards,
  ApricotdeckError,
  createDeferred,
  failure,
  GroupAgent,
  toFailure,
  type Deferred,
  type Emit,
  type EngineCall,
  type EngineMapState,
  type ExpertMap,
  type FetchSettings,
  type GroupMember,
  type MapEffect,
  type MapMessage,
  type ProposalEnd,
  type ProposalOutcome,
  type Random,
  type StepReport,
  type VersionedMap,
  type WeightPart,
} from "../../internal.js";
import { pause } from "../background-task.js";
import type { EngineClient } from "./engine-client.js";
import type { MapMetrics } from "./map-metrics.js";
import type { MapPeers } from "./peers.js";
import { readWeights, retryAfterOf } from "./weight-client.js";

export interface MapTaskOptions {
  readonly member: string;
  /** Incarnation of this agent. */
  readonly agent: string;
  readonly model: string;
  readonly initial: VersionedMap;
  readonly fetch: FetchSettings;
  readonly weightStore: string;
  readonly emit: Emit;
  readonly random: Random;
  readonly engine: EngineClient;
  readonly peers: MapPeers;
  readonly metrics: MapMetrics;
  /** Told of the reports of the own engine's ranks, each once. */
  readonly onSteps: (reports: readonly StepReport[]) => void;
}

interface Pending {
  readonly end: Deferred<ProposalEnd>;
  readonly since: number;
}

/** A message waits at most so long for the next decision that needs time. */
const TICK_MS = 20;
const IDLE_READ_MS = 250;
const STEPS_INTERVAL_MS = 250;
/** Reports that come later than so many steps after others are missed. */
const LATE_STEPS = 100;

export class MapTask {
  private readonly machine: GroupAgent;
  private pending: Pending | undefined;
  /** Steps of reports taken in, by step and rank. */
  private readonly seen = new Map<string, number>();
  private stepGroup = "";

  private constructor(private readonly options: MapTaskOptions) {
    this.machine = GroupAgent.create({
      ...options,
      idleReadMs: IDLE_READ_MS,
      safeguards: { ...allSwitchSafeguards, mayGoForward: true },
    });
  }

  static create(options: MapTaskOptions): MapTask {
    return new MapTask(options);
  }

  get engineState(): EngineMapState | undefined {
    return this.machine.engineState;
  }

  get mapInForce(): VersionedMap | undefined {
    return this.machine.mapInForce;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.keepTime(signal), this.followSteps(signal)]);
    this.settle(failure(1604), "");
  }

  setMembers(members: readonly GroupMember[]): void {
    this.machine.setMembers(members);
  }

  deliver(from: string, message: MapMessage): void {
    this.carryOut(this.machine.receive(from, message, Date.now()));
  }

  /**
   * Puts a map to the group; resolves once its outcome is known here. Throws
   * 1602, 1603, 1604 or 1606 when it wasn't put to the vote.
   */
  async proposeMap(
    map: ExpertMap,
    timeoutMs: number,
  ): Promise<ProposalOutcome> {
    const since = Date.now();
    const started = this.machine.proposeMap(map, since + timeoutMs, since);
    started.ifLeft((error) => {
      throw error;
    });
    const end = createDeferred<ProposalEnd>();
    this.pending = { end, since };
    const outcome = await end.promise;
    if (outcome instanceof ApricotdeckError) throw outcome;
    return outcome;
  }

  private async keepTime(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.carryOut(this.machine.tick(Date.now()));
      await pause(TICK_MS, signal);
    }
  }

  private async followSteps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readSteps();
      } catch {
        // The engine doesn't answer; reading its state shows the same, and the
        // next round reads on from the same step.
      }
      await pause(STEPS_INTERVAL_MS, signal);
    }
  }

  private async readSteps(): Promise<void> {
    const group = JSON.stringify(this.engineState?.group);
    if (group !== this.stepGroup) this.seen.clear();
    this.stepGroup = group;
    const from = Math.max(0, Math.max(0, ...this.seen.values()) - LATE_STEPS);
    for (const [key, step] of this.seen) {
      if (step < from) this.seen.delete(key);
    }
    const all = await this.options.engine.steps(from);
    const reports = all.filter((report) => this.isNew(report));
    if (reports.length === 0) return;
    this.machine.checkSteps(reports);
    this.options.metrics.checked(reports.length);
    this.options.onSteps(reports);
  }

  private isNew({ step, rank }: StepReport): boolean {
    const key = `${step}/${rank}`;
    if (this.seen.has(key)) return false;
    this.seen.set(key, step);
    return true;
  }

  private carryOut(effects: readonly MapEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        this.options.peers.send(effect.to, effect.message);
      } else if (effect.kind === "engine") void this.callEngine(effect.call);
      else if (effect.kind === "fetch") void this.fetchPart(effect.part);
      else this.settle(effect.end, effect.mapHash);
    }
  }

  private async callEngine(call: EngineCall): Promise<void> {
    const { engine, metrics } = this.options;
    try {
      const answer = await engine.call(call);
      this.carryOut(this.machine.engineAnswered(answer, Date.now()));
      metrics.observe(answer.state, this.machine.fetchedBytes);
    } catch {
      this.carryOut(this.machine.engineFailed(Date.now()));
    }
  }

  private async fetchPart(part: WeightPart): Promise<void> {
    const { weightStore, model, engine, emit } = this.options;
    const { weight, offset } = part;
    try {
      const data = await readWeights(weightStore, model, part);
      const held = await engine.putWeight(weight, offset, data);
      this.carryOut(this.machine.partArrived(part, held, Date.now()));
    } catch (thrown) {
      const error = toFailure(thrown, 1608);
      const { layer, expert } = weight;
      const reason = error.message;
      emit(165, { layer, expert, error: error.number, reason });
      const retryAfter = retryAfterOf(error);
      this.carryOut(this.machine.partFailed(part, retryAfter, Date.now()));
    }
  }

  private settle(end: ProposalEnd, mapHash: string): void {
    const { pending, options } = this;
    if (pending === undefined) return;
    this.pending = undefined;
    const durationMs = Date.now() - pending.since;
    options.metrics.ended(end, durationMs);
    const text = end instanceof ApricotdeckError ? String(end.number) : end;
    options.emit(160, { mapHash, end: text, durationMs });
    pending.end.resolve(end);
  }
}
