/**
 * Balances the experts of the agent's group across its ranks. Every agent sends
 * the window reports of its own ranks to the first member of the group, which
 * plans the expert map. Two agents that both plan as first member do no harm: a
 * map only takes effect once all ranks have voted for it.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import {
  DEFAULT_WINDOW_SETTINGS,
  PlannerThread,
  toFailure,
  WindowAssembly,
  WindowCollector,
  type Configuration,
  type ExpertMap,
  type ModelGroup,
  type MovePlan,
  type PlannerWindow,
  type RankReport,
  type StepReport,
} from "../../internal.js";
import type {
  ExpertBalanceServer,
  WindowReport,
  WindowReportReply,
} from "../../wire/generated/balance.js";
import type { ExpertMaps } from "../expert-map/expert-maps.js";
import type { ProcessContext } from "../process-context.js";
import type { AgentSettings } from "../settings.js";
import { ReportClient } from "./report-client.js";

export interface ExpertBalanceOptions {
  readonly context: ProcessContext;
  readonly settings: AgentSettings;
  readonly maps: () => ExpertMaps | undefined;
  /** Undefined until a configuration is in force. */
  readonly configuration: () => Configuration | undefined;
}

/**
 * A switch delays one or two steps of a busy group; see
 * docs/measurements/expertmap.md.
 */
const MAP_SWITCH_SECONDS = 0.05;
/** Experts that a rank has room to stage in addition to those in its slots. */
const STAGING_EXPERTS_PER_RANK = 64;
/**
 * Timeout of a proposal: this multiple of the predicted transfer time, plus a
 * base.
 */
const TRANSFER_TIMEOUT_FACTOR = 4;
const BASE_PROPOSAL_TIMEOUT_MS = 20_000;
/** The engines' step reports don't attribute request tokens to ranks. */
const NO_REQUEST_TOKENS = 0;

export class ExpertBalance implements AsyncDisposable {
  readonly service: ExpertBalanceServer = {
    reportWindow: (call, reply) => {
      this.onReport(call, reply);
    },
  };

  private readonly collector: WindowCollector;
  private readonly reportClient: ReportClient;
  private assembly: WindowAssembly | undefined;
  private planner: PlannerThread | undefined;
  private plannerShapeKey = "";
  private isProposalPending = false;
  private reportedGroup = "";

  private constructor(private readonly options: ExpertBalanceOptions) {
    const { context, settings } = options;
    this.reportClient = ReportClient.create(context, settings.transport);
    const { windowSteps } = settings.limits;
    this.collector = WindowCollector.create({
      ...DEFAULT_WINDOW_SETTINGS,
      windowSteps,
    });
  }

  static create(options: ExpertBalanceOptions): ExpertBalance {
    return new ExpertBalance(options);
  }

  /** Adds the step reports of the local engine's ranks. */
  onSteps(reports: readonly StepReport[]): void {
    const map = this.mapInForce();
    if (map === undefined) return;
    for (const report of reports) {
      this.resetOnNewGroup(report);
      const windows = this.collector.add(report, map, NO_REQUEST_TOKENS);
      for (const window of windows) this.sendToPlanner(window);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.reportClient[Symbol.dispose]();
    await this.planner?.[Symbol.asyncDispose]();
  }

  private mapInForce(): ExpertMap | undefined {
    const inForce = this.options.maps()?.mapInForce;
    if (inForce === undefined) return undefined;
    return { ...inForce.map, version: inForce.version };
  }

  /**
   * A group that forms again restarts its step numbers, so windows restart too.
   */
  private resetOnNewGroup({ group }: StepReport): void {
    const name = `${group.number}/${group.author}`;
    if (name === this.reportedGroup) return;
    this.reportedGroup = name;
    this.collector.reset();
    this.assembly?.reset();
  }

  private sendToPlanner(report: RankReport): void {
    const { maps, settings } = this.options;
    const leader = maps()?.leader;
    if (leader === undefined) return;
    if (leader.name === settings.name) this.addReport(report);
    else this.reportClient.send(leader.address, settings.group, report);
  }

  private onReport(
    { request }: ServerUnaryCall<WindowReport, WindowReportReply>,
    reply: sendUnaryData<WindowReportReply>,
  ): void {
    const { clock } = this.options.context;
    clock.observe(request.clock);
    if (request.group === this.options.settings.group) this.addReport(request);
    reply(null, { clock: clock.read() });
  }

  private addReport(report: RankReport): void {
    const { settings, configuration } = this.options;
    const group = configuration()?.groups.find(
      ({ name }) => name === settings.group,
    );
    if (group?.kind !== "model") return;
    this.assembly ??= WindowAssembly.create(group.ranks);
    for (const reports of this.assembly.add(report)) {
      void this.planAndPropose(group, reports);
    }
  }

  private async planAndPropose(
    group: ModelGroup,
    reports: readonly RankReport[],
  ): Promise<void> {
    const { emit } = this.options.context;
    const map = this.mapInForce();
    if (map === undefined) return;
    try {
      const planner = await this.plannerFor(group);
      const plan = await planner.decide(
        this.plannerWindow(group, map, reports),
      );
      if (plan.kind === "move") await this.propose(plan);
    } catch (error) {
      const { number, message } = toFailure(error, 1215);
      emit(105, { task: "expert-balance", error: number, reason: message });
    }
  }

  private plannerWindow(
    { bytesPerExpert }: ModelGroup,
    map: ExpertMap,
    reports: readonly RankReport[],
  ): PlannerWindow {
    const { settings, configuration } = this.options;
    const { weightBytesPerSecond } = settings.limits;
    return {
      map,
      reports,
      switchPending: this.isProposalPending,
      costs: {
        bytesPerExpert,
        storeBytesPerSecond: weightBytesPerSecond,
        switchSeconds: MAP_SWITCH_SECONDS,
        stagingExpertsPerRank: STAGING_EXPERTS_PER_RANK,
      },
      skewWeight: configuration()?.balance.skewWeight ?? 0,
    };
  }

  /** Replaces the planner when a published change alters the group's shape. */
  private async plannerFor(group: ModelGroup): Promise<PlannerThread> {
    const { ranks, layers, experts, slotsPerRank } = group;
    const shape = { ranks, layers, experts, slotsPerRank };
    const shapeKey = JSON.stringify(shape);
    if (this.planner !== undefined && shapeKey === this.plannerShapeKey) {
      return this.planner;
    }
    const previousPlanner = this.planner;
    this.plannerShapeKey = shapeKey;
    this.assembly = WindowAssembly.create(ranks);
    const newPlanner = PlannerThread.create(
      { shape },
      this.options.context.emit,
    );
    this.planner = newPlanner;
    await previousPlanner?.[Symbol.asyncDispose]();
    return newPlanner;
  }

  private async propose({ map, predicted }: MovePlan): Promise<void> {
    if (this.isProposalPending) return;
    this.isProposalPending = true;
    const transferMs = predicted.transferSeconds * 1000;
    const timeoutMs =
      BASE_PROPOSAL_TIMEOUT_MS + TRANSFER_TIMEOUT_FACTOR * transferMs;
    try {
      await this.options.maps()?.proposeMap(map, timeoutMs);
    } finally {
      this.isProposalPending = false;
    }
  }
}
