/**
 * Keeps the experts of the agent's group balanced. Every agent sends the
 * window reports of its own ranks to the first member of the group, and that
 * one plans. Two that take themselves for the first do no harm: a map is only
 * in force once all ranks have voted for it.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import {
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
  /** Tokens of answers that the agent has passed on so far. */
  readonly passedTokens: () => number;
}

/** A switch stalls a step or two of a busy group; see measurements/expertmap. */
const SWITCH_SECONDS = 0.05;
/** Room beside its slots that a rank has for weights that are on their way. */
const STAGING_EXPERTS = 64;
/** A proposal may take so much longer than the fetch that was foretold. */
const TRANSFER_MARGIN = 4;
const LEAST_PROPOSAL_MS = 20_000;

export class ExpertBalance implements AsyncDisposable {
  readonly service: ExpertBalanceServer = {
    reportWindow: (call, reply) => {
      this.onReport(call, reply);
    },
  };

  private readonly collector = WindowCollector.create();
  private readonly client: ReportClient;
  private assembly: WindowAssembly | undefined;
  private planner: PlannerThread | undefined;
  private plannedShape = "";
  private switching = false;
  private stepGroup = "";
  private passedBefore = 0;

  private constructor(private readonly options: ExpertBalanceOptions) {
    const { context, settings } = options;
    this.client = ReportClient.create(context, settings.transport);
  }

  static create(options: ExpertBalanceOptions): ExpertBalance {
    return new ExpertBalance(options);
  }

  /** Takes in the step reports of the own engine's ranks. */
  onSteps(reports: readonly StepReport[]): void {
    const map = this.mapInForce();
    if (map === undefined) return;
    const shares = this.takeRequestTokens(reports.length);
    for (const report of reports) {
      this.noticeNewGroup(report);
      const windows = this.collector.add(report, map, shares);
      for (const window of windows) this.deliver(window);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.client[Symbol.dispose]();
    await this.planner?.[Symbol.asyncDispose]();
  }

  private mapInForce(): ExpertMap | undefined {
    const inForce = this.options.maps()?.mapInForce;
    if (inForce === undefined) return undefined;
    return { ...inForce.map, version: inForce.version };
  }

  /** A group that forms anew counts its steps from the start. */
  private noticeNewGroup({ group }: StepReport): void {
    const name = `${group.number}/${group.author}`;
    if (name === this.stepGroup) return;
    this.stepGroup = name;
    this.collector.reset();
    this.assembly?.reset();
  }

  /** The agent knows its requests, not the ranks that they run on. */
  private takeRequestTokens(steps: number): number {
    const passed = this.options.passedTokens();
    const since = passed - this.passedBefore;
    this.passedBefore = passed;
    return since / Math.max(1, steps);
  }

  private deliver(report: RankReport): void {
    const { maps, settings } = this.options;
    const leader = maps()?.leader;
    if (leader === undefined) return;
    if (leader.name === settings.name) this.take(report);
    else this.client.send(leader.address, settings.group, report);
  }

  private onReport(
    { request }: ServerUnaryCall<WindowReport, WindowReportReply>,
    reply: sendUnaryData<WindowReportReply>,
  ): void {
    const { clock } = this.options.context;
    clock.observe(request.clock);
    if (request.group === this.options.settings.group) this.take(request);
    reply(null, { clock: clock.read() });
  }

  private take(report: RankReport): void {
    const { settings, configuration } = this.options;
    const group = configuration()?.groups.find(
      ({ name }) => name === settings.group,
    );
    if (group?.kind !== "model") return;
    this.assembly ??= WindowAssembly.create(group.ranks);
    for (const reports of this.assembly.add(report)) {
      void this.decide(group, reports);
    }
  }

  private async decide(
    group: ModelGroup,
    reports: readonly RankReport[],
  ): Promise<void> {
    const { emit } = this.options.context;
    const map = this.mapInForce();
    if (map === undefined) return;
    try {
      const planner = await this.plannerOf(group);
      const plan = await planner.decide(this.windowOf(group, map, reports));
      if (plan.kind === "move") await this.propose(plan);
    } catch (error) {
      const { number, message } = toFailure(error, 1215);
      emit(105, { task: "expert-balance", error: number, reason: message });
    }
  }

  private windowOf(
    { bytesPerExpert }: ModelGroup,
    map: ExpertMap,
    reports: readonly RankReport[],
  ): PlannerWindow {
    const { settings, configuration } = this.options;
    const { weightBytesPerSecond } = settings.limits;
    return {
      map,
      reports,
      switchPending: this.switching,
      costs: {
        bytesPerExpert,
        storeBytesPerSecond: weightBytesPerSecond,
        switchSeconds: SWITCH_SECONDS,
        stagingExpertsPerRank: STAGING_EXPERTS,
      },
      skewWeight: configuration()?.balance.skewWeight ?? 0,
    };
  }

  /** A published change of the group's shape begins the planning anew. */
  private async plannerOf(group: ModelGroup): Promise<PlannerThread> {
    const { ranks, layers, experts, slotsPerRank } = group;
    const shape = { ranks, layers, experts, slotsPerRank };
    const named = JSON.stringify(shape);
    if (this.planner !== undefined && named === this.plannedShape) {
      return this.planner;
    }
    const old = this.planner;
    this.plannedShape = named;
    this.assembly = WindowAssembly.create(ranks);
    const created = PlannerThread.create({ shape }, this.options.context.emit);
    this.planner = created;
    await old?.[Symbol.asyncDispose]();
    return created;
  }

  private async propose({ map, predicted }: MovePlan): Promise<void> {
    if (this.switching) return;
    this.switching = true;
    const transferMs = predicted.transferSeconds * 1000;
    const timeoutMs = LEAST_PROPOSAL_MS + TRANSFER_MARGIN * transferMs;
    try {
      await this.options.maps()?.proposeMap(map, timeoutMs);
    } finally {
      this.switching = false;
    }
  }
}
