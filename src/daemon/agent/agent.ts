/** The agent daemon, which runs next to one backend server. */
import { pause } from "../background-task.js";
import { ExpertBalance } from "../balance/expert-balance.js";
import {
  DaemonCore,
  type Daemon,
  type DaemonAddresses,
  type DaemonTask,
} from "../daemon.js";
import { memoryBytesOf } from "../../intake/process-memory.js";
import { EngineClient } from "../expert-map/engine-client.js";
import { ExpertMaps } from "../expert-map/expert-maps.js";
import { OrderTask } from "../orders/order-task.js";
import { createContext, type ProcessContext } from "../process-context.js";
import type { AgentSettings } from "../settings.js";
import { ExpertBalanceService } from "../../wire/generated/balance.js";
import { ClaimsService } from "../../wire/generated/claims.js";
import { ExpertMapsService } from "../../wire/generated/expertmap.js";
import { AgentService, AgentSessions } from "./agent-sessions.js";
import { RunBodies } from "./run-bodies.js";
import { createClaimService } from "./claim-service.js";
import { reportLoads } from "./load-reports.js";
import { RunnerRest } from "./runner-rest.js";
import { RunnerClient } from "./runner-client.js";

/** Time for the last frames to be sent before the connections close. */
const FLUSH_DELAY_MS = 50;

export async function startAgent(
  settings: AgentSettings,
  onLeave: () => void,
): Promise<Daemon> {
  return Agent.create(settings, createContext(settings), onLeave);
}

class Agent implements Daemon {
  private readonly core: DaemonCore;
  private readonly runner: RunnerClient;
  private readonly sessions: AgentSessions;
  /** Undefined unless the engine's ranks use an expert map. */
  private readonly expertMaps: ExpertMaps | undefined;
  private readonly balance: ExpertBalance;
  private readonly engine: EngineClient;
  private readonly orders: OrderTask;

  private constructor(
    private readonly settings: AgentSettings,
    readonly context: ProcessContext,
    onLeave: () => void,
  ) {
    const { group, limits, runner, platform } = settings;
    this.core = DaemonCore.create({
      settings,
      context,
      isReady: () => true,
      status: () => this.status(),
      onLeave,
    });
    const { log } = this.core;
    const configuration = () => this.core.configuration.inForce?.configuration;
    const rest = RunnerRest.create({
      now: () => performance.now(),
      emit: context.emit,
      runner: settings.name,
    });
    this.runner = RunnerClient.create(runner.address, runner.kind, rest);
    this.sessions = AgentSessions.create({
      context,
      runner: this.runner,
      rest,
      bodies: RunBodies.create({
        ...context,
        capacityBytes: memoryBytesOf(settings) * limits.requestMemoryShare,
      }),
      group,
      attemptLimit: limits.attempts,
      engineResumes: runner.kind === "model",
    });
    const { checksFencing, orderEffectMs: effectMs } = runner;
    this.engine = EngineClient.create(runner.address);
    this.orders = OrderTask.create({
      context,
      log,
      engine: this.engine,
      runner: settings.name,
      group,
      settings: { checksFencing, effectMs },
    });
    const { weightStore } = platform;
    if (weightStore !== undefined && settings.ranks.length > 0) {
      this.expertMaps = ExpertMaps.create({
        context,
        settings,
        weightStore,
        configuration,
        onSteps: (reports) => {
          this.balance.onSteps(reports);
        },
      });
    }
    this.balance = ExpertBalance.create({
      context,
      settings,
      maps: () => this.expertMaps,
      configuration,
    });
  }

  static async create(
    settings: AgentSettings,
    context: ProcessContext,
    onLeave: () => void,
  ): Promise<Agent> {
    const agent = new Agent(settings, context, onLeave);
    await agent.start();
    return agent;
  }

  get addresses(): DaemonAddresses {
    return this.core.addresses;
  }

  async leave(): Promise<void> {
    if (!this.core.beginLeaving()) return;
    const cutRequests = await this.sessions.leave(this.settings.graceMs);
    await this.sessions[Symbol.asyncDispose]();
    await pause(FLUSH_DELAY_MS, this.core.signal);
    this.context.emit(103, { cutRequests });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.core.endTasks();
    await this.sessions[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
    await this.runner[Symbol.asyncDispose]();
    await this.balance[Symbol.asyncDispose]();
    await this.expertMaps?.[Symbol.asyncDispose]();
    await this.engine[Symbol.asyncDispose]();
  }

  private async start(): Promise<void> {
    this.addServices();
    await this.core.start([...this.engineTasks(), ...this.mapTasks()]);
    this.core.announce();
  }

  private addServices(): void {
    const { server } = this.core;
    const { context, sessions, expertMaps, balance } = this;
    server.addService(AgentService, sessions.service);
    const claims = createClaimService(context, (query) =>
      sessions.askAttempt(query),
    );
    server.addService(ClaimsService, claims);
    if (expertMaps === undefined) return;
    server.addService(ExpertMapsService, expertMaps.service);
    server.addService(ExpertBalanceService, balance.service);
  }

  private engineTasks(): readonly DaemonTask[] {
    if (this.settings.runner.kind !== "model") return [];
    const { orders, runner, sessions } = this;
    return [
      {
        name: "load-reports",
        run: (signal) =>
          reportLoads(
            runner,
            (load) => {
              sessions.report(load);
            },
            signal,
          ),
      },
      { name: "orders-log", run: (signal) => orders.followLog(signal) },
      { name: "orders", run: (signal) => orders.executeOrders(signal) },
    ];
  }

  private mapTasks(): readonly DaemonTask[] {
    const { expertMaps } = this;
    if (expertMaps === undefined) return [];
    return [{ name: "expert-maps", run: (signal) => expertMaps.run(signal) }];
  }

  private status(): Readonly<Record<string, unknown>> {
    const { settings, sessions } = this;
    return {
      group: settings.group,
      running: sessions.runningCount,
      orders: this.orders.status,
      sessions: sessions.status(),
      expertMap: this.expertMaps?.status ?? null,
    };
  }
}
