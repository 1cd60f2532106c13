/**
 * The process beside a runner: its rank's agent, and the planner of the group
 * when it holds the seat.
 */
import { randomUUID } from "node:crypto";
import { Server } from "@grpc/grpc-js";
import { pause } from "../daemon/background-task.js";
import { EventLog } from "../daemon/event-log.js";
import { bindServer } from "../daemon/peer-server.js";
import { channelOptions } from "../daemon/transport.js";
import { hostPortOf, type RankAgentSettings } from "../direct/settings.js";
import { HybridClock, toFailure, type Emit } from "../internal.js";
import type { RegisterChange } from "../membership/types.js";
import type { KeyedRecord, KeyedTopic } from "../platform/keyed-topic.js";
import type { EngineFigures, SiteConfiguration } from "../routing/types.js";
import { RankAgentService } from "../wire/generated/rankmaps.js";
import { GroupPlanner } from "./group-planner.js";
import { PlannerSeat, type SeatService } from "./planner-seat.js";
import { RankAgent } from "./rank-agent.js";
import { RankClient } from "./rank-client.js";
import type { RankPort, RankState } from "./types.js";

export interface AgentOptions {
  readonly settings: RankAgentSettings;
  readonly port: RankPort;
  readonly seats: SeatService;
  readonly configuration: KeyedTopic;
  readonly configurationKey: string;
  readonly decodeConfiguration: (value: Buffer) => SiteConfiguration;
  readonly register: KeyedTopic;
  readonly decodeServer: (record: KeyedRecord) => RegisterChange;
}

/** Between two looks at a runner that belongs to no group yet, ms. */
const SEARCH_INTERVAL_MS = 500;
/** Between two attempts of a planner that doesn't reach its whole group, ms. */
const INCOMPLETE_INTERVAL_MS = 300;
/** Transport between agents lies inside the users' own network. */
const PLAIN_TRANSPORT = { allowPlaintext: true } as const;

export class RankAgentProcess implements AsyncDisposable {
  private readonly emit: Emit;
  private readonly agent: RankAgent;
  private readonly server = new Server(channelOptions);
  private readonly stop = new AbortController();
  private readonly clients = new Map<string, RankClient>();
  private group: readonly RankClient[] = [];
  private readonly seat: PlannerSeat;

  private constructor(private readonly options: AgentOptions) {
    const { settings, port, seats } = options;
    const { name, logLevel, store } = settings;
    const events = EventLog.create(name, HybridClock.create(), logLevel);
    this.emit = events.emit;
    this.agent = RankAgent.create({ port, emit: this.emit });
    this.seat = PlannerSeat.create({
      service: seats,
      emit: this.emit,
      member: `${name}.${randomUUID()}`,
      leastLeaseMs: store.leastLeaseMs,
    });
  }

  static async create(options: AgentOptions): Promise<RankAgentProcess> {
    const agent = new RankAgentProcess(options);
    await agent.start();
    return agent;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    this.server.forceShutdown();
    for (const client of this.clients.values()) client[Symbol.dispose]();
    // Gives the seat's renewal the time to leave the group.
    await pause(LEAVE_MS, new AbortController().signal);
  }

  private async start(): Promise<void> {
    const { settings } = this.options;
    this.server.addService(RankAgentService, this.agent.service);
    const peers = hostPortOf(settings.peers);
    await bindServer(this.server, { peers, transport: PLAIN_TRANSPORT });
    this.emit(101, { role: "agent", incarnation: "", release: "" });
    void this.run(this.stop.signal);
  }

  private async run(signal: AbortSignal): Promise<void> {
    const own = await this.ownState(signal);
    if (own === undefined) return;
    const { service } = this.options.settings;
    void this.seat.run(`${service}.${own.group}`, signal);
    let planner: GroupPlanner | undefined;
    while (!signal.aborted) {
      if (this.seat.generation === undefined) {
        planner = undefined;
        await pause(SEARCH_INTERVAL_MS / 2, signal);
        continue;
      }
      planner = await this.plan(planner, own, signal);
    }
  }

  /** Waits until the runner belongs to a group. */
  private async ownState(signal: AbortSignal): Promise<RankState | undefined> {
    while (!signal.aborted) {
      try {
        const state = await this.options.port.observe();
        if (state.size > 0) return state;
      } catch (error) {
        this.noteUnreachable(error);
      }
      await pause(SEARCH_INTERVAL_MS, signal);
    }
    return undefined;
  }

  private async plan(
    known: GroupPlanner | undefined,
    own: RankState,
    signal: AbortSignal,
  ): Promise<GroupPlanner | undefined> {
    try {
      const planner = known ?? (await this.createPlanner(own, signal));
      if (planner === undefined) {
        await pause(SEARCH_INTERVAL_MS, signal);
        return undefined;
      }
      await pause(await planner.step(this.group), signal);
      return planner;
    } catch (error) {
      this.noteUnreachable(error);
      await pause(INCOMPLETE_INTERVAL_MS, signal);
      return undefined;
    }
  }

  /** Undefined where the service's engines have no expert maps. */
  private async createPlanner(
    own: RankState,
    signal: AbortSignal,
  ): Promise<GroupPlanner | undefined> {
    const engine = await this.engineFigures(signal);
    if (engine === undefined || engine.expertSets === 0) return undefined;
    this.group = await this.findGroup(own, signal);
    const { rank } = await this.options.port.observe();
    return GroupPlanner.create({
      seat: this.seat,
      emit: this.emit,
      engine,
      ownRank: rank,
    });
  }

  private async engineFigures(
    signal: AbortSignal,
  ): Promise<EngineFigures | undefined> {
    const { configuration, configurationKey, decodeConfiguration } =
      this.options;
    const { records } = await configuration.newest(signal);
    const newest = records.findLast(({ key }) => key === configurationKey);
    if (newest?.value === undefined) return undefined;
    const { services } = decodeConfiguration(newest.value);
    const { service } = this.options.settings;
    return services.find(({ name }) => name === service)?.engine;
  }

  /** The agents beside the runners of the own group. */
  private async findGroup(
    own: RankState,
    signal: AbortSignal,
  ): Promise<readonly RankClient[]> {
    const { register, decodeServer, settings } = this.options;
    const { records } = await register.newest(signal);
    const { port } = hostPortOf(settings.peers);
    const addresses = records
      .flatMap((record) => decodeServer(record).server ?? [])
      .filter(({ service }) => service === settings.service)
      .map(({ address }) => `${hostPortOf(address).host}:${port}`);
    const clients = [...new Set(addresses)].map((to) => this.clientOf(to));
    const groups = await Promise.all(
      clients.map((client) => this.groupOf(client)),
    );
    return clients.filter((_, index) => groups[index] === own.group);
  }

  private async groupOf(client: RankClient): Promise<string | undefined> {
    try {
      const { state } = await client.observe({
        withCounts: false,
        withExperts: false,
      });
      return state.group;
    } catch (error) {
      this.noteUnreachable(error);
      return undefined;
    }
  }

  private clientOf(address: string): RankClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = RankClient.create(address, PLAIN_TRANSPORT);
    this.clients.set(address, client);
    return client;
  }

  private noteUnreachable(error: unknown): void {
    const { message } = toFailure(error, 1607);
    this.emit(223, { reason: message });
  }
}

const LEAVE_MS = 100;
