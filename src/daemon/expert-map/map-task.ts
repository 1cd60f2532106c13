/**
 * Runs the effects that `GroupAgent` decides on: calls to the engine, messages
 * to the other agents, and fetches of weights from the store.
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
  type ProposalResult,
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
import { readWeights, retryAfterMsOf } from "./weight-client.js";

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
  /** Receives each step report of the local engine's ranks once. */
  readonly onSteps: (reports: readonly StepReport[]) => void;
}

interface PendingProposal {
  readonly outcome: Deferred<ProposalResult>;
  readonly startedAtMs: number;
}

/** Interval of ticks, and so the longest delay of a time-based decision. */
const TICK_INTERVAL_MS = 20;
const IDLE_READ_INTERVAL_MS = 250;
const STEP_POLL_INTERVAL_MS = 250;
/** Reports that lag the newest step by more than this aren't read any more. */
const MAXIMUM_LATE_STEPS = 100;

export class MapTask {
  private readonly groupAgent: GroupAgent;
  private pendingProposal: PendingProposal | undefined;
  /** Step numbers of the reports processed so far, by step and rank. */
  private readonly seenSteps = new Map<string, number>();
  private reportedGroup = "";

  private constructor(private readonly options: MapTaskOptions) {
    this.groupAgent = GroupAgent.create({
      ...options,
      idleReadMs: IDLE_READ_INTERVAL_MS,
      safeguards: { ...allSwitchSafeguards, mayGoForward: true },
    });
  }

  static create(options: MapTaskOptions): MapTask {
    return new MapTask(options);
  }

  get engineState(): EngineMapState | undefined {
    return this.groupAgent.engineState;
  }

  get mapInForce(): VersionedMap | undefined {
    return this.groupAgent.mapInForce;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.runTicks(signal), this.followSteps(signal)]);
    this.settleProposal(failure(1604), "");
  }

  setMembers(members: readonly GroupMember[]): void {
    this.groupAgent.setMembers(members);
  }

  deliver(from: string, message: MapMessage): void {
    this.runEffects(this.groupAgent.receive(from, message, Date.now()));
  }

  /**
   * Proposes a map to the group; resolves once the outcome is known here.
   * Throws 1602, 1603, 1604 or 1606 if the map wasn't put to the vote.
   */
  async proposeMap(
    map: ExpertMap,
    timeoutMs: number,
  ): Promise<ProposalOutcome> {
    const startedAtMs = Date.now();
    const result = this.groupAgent.proposeMap(
      map,
      startedAtMs + timeoutMs,
      startedAtMs,
    );
    result.ifLeft((error) => {
      throw error;
    });
    const deferred = createDeferred<ProposalResult>();
    this.pendingProposal = { outcome: deferred, startedAtMs };
    const outcome = await deferred.promise;
    if (outcome instanceof ApricotdeckError) throw outcome;
    return outcome;
  }

  private async runTicks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.runEffects(this.groupAgent.tick(Date.now()));
      await pause(TICK_INTERVAL_MS, signal);
    }
  }

  private async followSteps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readSteps();
      } catch {
        // Reads of the engine's state report that it doesn't answer; the next
        // round continues from the same step.
      }
      await pause(STEP_POLL_INTERVAL_MS, signal);
    }
  }

  private async readSteps(): Promise<void> {
    const group = JSON.stringify(this.engineState?.group);
    if (group !== this.reportedGroup) this.seenSteps.clear();
    this.reportedGroup = group;
    const from = Math.max(
      0,
      Math.max(0, ...this.seenSteps.values()) - MAXIMUM_LATE_STEPS,
    );
    for (const [key, step] of this.seenSteps) {
      if (step < from) this.seenSteps.delete(key);
    }
    const fetchedReports = await this.options.engine.steps(from);
    const reports = fetchedReports.filter((report) => this.markSeen(report));
    if (reports.length === 0) return;
    this.groupAgent.checkSteps(reports);
    this.options.metrics.countStepReports(reports.length);
    this.options.onSteps(reports);
  }

  private markSeen({ step, rank }: StepReport): boolean {
    const key = `${step}/${rank}`;
    if (this.seenSteps.has(key)) return false;
    this.seenSteps.set(key, step);
    return true;
  }

  private runEffects(effects: readonly MapEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        this.options.peers.send(effect.to, effect.message);
      } else if (effect.kind === "engine") void this.callEngine(effect.call);
      else if (effect.kind === "fetch") void this.fetchPart(effect.part);
      else this.settleProposal(effect.end, effect.mapHash);
    }
  }

  private async callEngine(call: EngineCall): Promise<void> {
    const { engine, metrics } = this.options;
    try {
      const answer = await engine.call(call);
      this.runEffects(this.groupAgent.engineAnswered(answer, Date.now()));
      metrics.observeEngineState(answer.state, this.groupAgent.fetchedBytes);
    } catch {
      this.runEffects(this.groupAgent.engineFailed(Date.now()));
    }
  }

  private async fetchPart(part: WeightPart): Promise<void> {
    const { weightStore, model, engine, emit } = this.options;
    const { weight, offset } = part;
    try {
      const data = await readWeights(weightStore, model, part);
      const heldBytes = await engine.putWeight(weight, offset, data);
      this.runEffects(this.groupAgent.partArrived(part, heldBytes, Date.now()));
    } catch (thrown) {
      const error = toFailure(thrown, 1608);
      const { layer, expert } = weight;
      const reason = error.message;
      emit(165, { layer, expert, error: error.number, reason });
      const retryAfterMs = retryAfterMsOf(error);
      this.runEffects(
        this.groupAgent.partFailed(part, retryAfterMs, Date.now()),
      );
    }
  }

  private settleProposal(end: ProposalResult, mapHash: string): void {
    const { pendingProposal: pending, options } = this;
    if (pending === undefined) return;
    this.pendingProposal = undefined;
    const durationMs = Date.now() - pending.startedAtMs;
    options.metrics.observeProposalEnd(end, durationMs);
    const endLabel = end instanceof ApricotdeckError ? String(end.number) : end;
    options.emit(160, { mapHash, end: endLabel, durationMs });
    pending.outcome.resolve(end);
  }
}
