/** The daemon beside one backend server. */
import { Server } from "@grpc/grpc-js";
import { LogClient } from "../../platform/log-client.js";
import { pause, runTask } from "../background-task.js";
import { ConfigurationFollower } from "../configuration/follower.js";
import type { Daemon, DaemonAddresses } from "../entry/entry.js";
import type { Listening } from "../listening.js";
import { startOperatorsServer } from "../operators-server.js";
import { RELEASE } from "../../release.js";
import { createContext, type ProcessContext } from "../process-context.js";
import type { AgentSettings } from "../settings.js";
import { bindServer } from "../peer-server.js";
import { channelOptions } from "../transport.js";
import { ConfigurationFeedService } from "../../wire/generated/configuration.js";
import { ExpertBalanceService } from "../../wire/generated/balance.js";
import { ClaimsService } from "../../wire/generated/claims.js";
import { ExpertMapsService } from "../../wire/generated/expertmap.js";
import { ExpertBalance } from "../balance/expert-balance.js";
import { ExpertMaps } from "../expert-map/expert-maps.js";
import { AgentService, AgentSessions } from "./agent-sessions.js";
import { createClaimService } from "./claim-service.js";
import { reportLoads } from "./load-reports.js";
import { EngineClient } from "../expert-map/engine-client.js";
import { OrderTask } from "../orders/order-task.js";
import { RunnerClient } from "./runner-client.js";

const LAST_FRAMES_MS = 50;

export async function startAgent(
  settings: AgentSettings,
  onLeave: () => void,
): Promise<Daemon> {
  return Agent.create(settings, createContext(settings), onLeave);
}

class Agent implements Daemon {
  private readonly stop = new AbortController();
  private readonly runner: RunnerClient;
  private readonly sessions: AgentSessions;
  private readonly configuration: ConfigurationFollower;
  /** Only where the engine's ranks run on an expert map. */
  private readonly expertMaps: ExpertMaps | undefined;
  private readonly balance: ExpertBalance;
  private readonly engine: EngineClient;
  private readonly orders: OrderTask;
  private readonly server = new Server(channelOptions);
  private leaving = false;
  private peers = "";
  private operators!: Listening;

  private constructor(
    private readonly settings: AgentSettings,
    readonly context: ProcessContext,
    private readonly onLeave: () => void,
  ) {
    const { group, limits, runner, platform } = settings;
    this.runner = RunnerClient.create(runner.address, runner.kind);
    this.sessions = AgentSessions.create({
      context,
      runner: this.runner,
      group,
      attemptLimit: limits.attempts,
      engineResumes: runner.kind === "model",
    });
    const log = LogClient.create(platform.log);
    this.configuration = ConfigurationFollower.create({
      context,
      log,
      vmList: platform.vmList,
      transport: settings.transport,
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
        configuration: () => this.configuration.inForce?.configuration,
        onSteps: (reports) => {
          this.balance.onSteps(reports);
        },
      });
    }
    this.balance = ExpertBalance.create({
      context,
      settings,
      maps: () => this.expertMaps,
      configuration: () => this.configuration.inForce?.configuration,
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
    return { peers: this.peers, operators: this.operators.address };
  }

  async leave(): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    const { graceMs } = this.settings;
    this.context.emit(102, { graceMs });
    const cutRequests = await this.sessions.leave(graceMs);
    await this.sessions[Symbol.asyncDispose]();
    // The last frames of the last answers are still on their way out.
    await pause(LAST_FRAMES_MS, this.stop.signal);
    this.context.emit(103, { cutRequests });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.sessions[Symbol.asyncDispose]();
    this.server.forceShutdown();
    await this.operators[Symbol.asyncDispose]();
    await this.runner[Symbol.asyncDispose]();
    await this.balance[Symbol.asyncDispose]();
    await this.expertMaps?.[Symbol.asyncDispose]();
    await this.engine[Symbol.asyncDispose]();
  }

  private async start(): Promise<void> {
    const { settings, context, configuration } = this;
    const { signal } = this.stop;
    const { emit, incarnation } = context;
    this.operators = await startOperatorsServer(settings.operators, {
      events: context.events,
      metrics: context.metrics,
      isReady: () => !this.leaving,
      status: () => this.status(),
      leave: this.onLeave,
    });
    void runTask({
      name: "configuration",
      emit,
      signal,
      run: (s) => configuration.run(s),
    });
    void runTask({
      name: "configuration-feed",
      emit,
      signal,
      run: (s) => configuration.beat(s),
    });
    void runTask({
      name: "checkpoints",
      emit,
      signal,
      run: (s) => configuration.keepCheckpoints(s),
    });
    if (settings.runner.kind === "model") {
      void runTask({
        name: "load-reports",
        emit,
        signal,
        run: (s) =>
          reportLoads(
            this.runner,
            (load) => {
              this.sessions.report(load);
            },
            s,
          ),
      });
    }
    const { expertMaps, orders } = this;
    if (settings.runner.kind === "model") {
      void runTask({
        name: "orders-log",
        emit,
        signal,
        run: (s) => orders.follow(s),
      });
      void runTask({
        name: "orders",
        emit,
        signal,
        run: (s) => orders.give(s),
      });
    }
    if (expertMaps !== undefined) {
      this.server.addService(ExpertMapsService, expertMaps.service);
      this.server.addService(ExpertBalanceService, this.balance.service);
      void runTask({
        name: "expert-maps",
        emit,
        signal,
        run: (s) => expertMaps.run(s),
      });
    }
    this.server.addService(AgentService, this.sessions.service);
    this.server.addService(
      ClaimsService,
      createClaimService(context, (question) =>
        this.sessions.askAttempt(question),
      ),
    );
    this.server.addService(
      ConfigurationFeedService,
      configuration.feed.service,
    );
    this.peers = await bindServer(this.server, settings);
    emit(101, { role: "agent", incarnation, release: RELEASE });
  }

  private status(): unknown {
    const { context, configuration, settings, sessions } = this;
    const { inForce } = configuration;
    return {
      name: context.name,
      role: "agent",
      dataCentre: context.dataCentre,
      incarnation: context.incarnation,
      release: RELEASE,
      leaving: this.leaving,
      version: inForce?.version ?? null,
      hash: inForce?.hash ?? null,
      configuration: configuration.summary,
      group: settings.group,
      running: sessions.runningCount,
      orders: this.orders.status,
      sessions: sessions.status(),
      expertMap: this.expertMaps?.status ?? null,
    };
  }
}
