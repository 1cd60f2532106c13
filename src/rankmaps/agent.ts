/**
 * The agent process on a runner's VM: serves the runner's rank, and plans for
 * the group while it holds the planner lease.
 */
import { randomUUID } from "node:crypto";
import { pause } from "../daemon/background-task.js";
import { EventLog } from "../daemon/event-log.js";
import { PeerListener } from "../daemon/peer-listener.js";
import type { ListeningServer } from "../daemon/listening.js";
import { registerMetrics } from "../daemon/metrics-registry.js";
import { startMetricsServer } from "../daemon/operators-server.js";
import {
  changedFields,
  hostPortOf,
  type DirectSettings,
  type RankAgentSettings,
} from "../direct/settings.js";
import {
  HybridClock,
  toFailure,
  type Emit,
  type Measurements,
} from "../internal.js";
import {
  REGISTER_STREAM,
  RegisterReader,
} from "../membership/register-reader.js";
import type { LoadHubServer } from "../loadview/load-hub-server.js";
import type { RegisterChange } from "../membership/types.js";
import type {
  KeyedRecord,
  KeyedTopic,
  KeyedWriter,
} from "../platform/keyed-topic.js";
import { RecordFindings } from "../platform/record-findings.js";
import type { StoreEra } from "../platform/store-era.js";
import { RELEASE } from "../release.js";
import type { SiteConfiguration } from "../routing/types.js";
import { RankAgentService } from "../wire/generated/rankmaps.js";
import { startLoadHub } from "./agent-load-hub.js";
import { Candidacy } from "./candidacy.js";
import { GroupPlanner } from "./group-planner.js";
import { EngineSource } from "./engine-source.js";
import { GroupReporter } from "./group-reporter.js";
import { HoldGuard } from "./hold-guard.js";
import { GroupMembers } from "./group-members.js";
import { GroupSearch } from "./group-search.js";
import { PaceReporter } from "./pace-reporter.js";
import { PlannerLease, type LeaseService } from "./planner-lease.js";
import { RankAgent } from "./rank-agent.js";
import { PLAIN_TRANSPORT, RankConnections } from "./rank-connections.js";
import { RelayedMaps } from "./relayed-maps.js";
import { runnerLoadsOf } from "./runner-loads.js";
import { SendWindow } from "./send-window.js";
import { SwitchCoordinators } from "./switch-coordinator.js";
import type { GroupRank, RankPort, RankState } from "./types.js";

export interface AgentOptions {
  readonly settings: RankAgentSettings;
  /** Connects to the runner at host:port. */
  readonly connectRunner: (address: string) => RankPort;
  readonly leaseService: LeaseService;
  /** Era of the store that grants the leases and holds the topics. */
  readonly era: StoreEra;
  readonly configuration: KeyedTopic;
  readonly configurationKey: string;
  readonly decodeConfiguration: (value: Buffer) => SiteConfiguration;
  readonly register: KeyedTopic;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decodeServer: (record: KeyedRecord) => RegisterChange;
  readonly paceNotes: KeyedWriter;
  readonly groupNotes: KeyedWriter;
}

/**
 * Interval between observations of a runner that belongs to no group yet, ms.
 */
const SEARCH_INTERVAL_MS = 500;
/** Interval between a planner's attempts to reach its complete group, ms. */
const INCOMPLETE_INTERVAL_MS = 300;
/** Failed steps in a row after which a planner searches its group again. */
const TOLERATED_FAILED_STEPS = 2;
/** Interval before a step that is tried again with the same members, ms. */
const RETRY_INTERVAL_MS = 100;
/** Time for leaving the lease's group at shutdown, ms. */
const LEAVE_GRACE_MS = 100;

export class RankAgentProcess implements AsyncDisposable {
  private readonly events: EventLog;
  private readonly emit: Emit;
  private readonly agent: RankAgent;
  private readonly peerListener: PeerListener;
  private readonly abortController = new AbortController();
  private readonly ranks: RankConnections;
  private readonly members: GroupMembers;
  private readonly engineSource: EngineSource;
  /** Steps of the planner that have failed since the last complete one. */
  private failedSteps = 0;
  private readonly findings: RecordFindings;
  private readonly registerReader: RegisterReader;
  private readonly lease: PlannerLease;
  private readonly candidacy = Candidacy.create(() => performance.now());
  private readonly coordinators = SwitchCoordinators.create();
  private readonly relayedMaps = RelayedMaps.create();
  private readonly port: RankPort;
  private readonly pace: PaceReporter;
  private readonly groupReporter: GroupReporter;
  private loadHub: LoadHubServer | undefined;
  private readonly incarnation = randomUUID();
  private readonly registry;
  private readonly measurements: Measurements;
  private metricsServer: ListeningServer | undefined;

  private constructor(private readonly options: AgentOptions) {
    const { settings, connectRunner, leaseService } = options;
    const port = connectRunner(settings.runner);
    this.port = port;
    const { name, logLevel, store, dataCentre } = settings;
    const labels = { process: name, data_centre: dataCentre };
    const { registry, measurements } = registerMetrics(labels);
    this.registry = registry;
    this.measurements = measurements;
    this.events = EventLog.create(name, HybridClock.create(), logLevel);
    this.emit = this.events.emit;
    this.peerListener = PeerListener.create({
      settings,
      emit: this.emit,
      measurements,
      messageBytes: settings.peerMessageBytes,
    });
    this.findings = RecordFindings.create({
      emit: this.emit,
      measurements,
    });
    this.registerReader = RegisterReader.create({
      decode: options.decodeServer,
      findings: this.findings,
    });
    this.pace = PaceReporter.create({
      notes: options.paceNotes,
      now: () => performance.now(),
      emit: this.emit,
    });
    this.groupReporter = GroupReporter.create({
      notes: options.groupNotes,
      emit: this.emit,
    });
    const onUnreachable = (error: unknown): void => {
      this.reportUnreachable(error);
    };
    this.engineSource = EngineSource.create({
      ...options,
      service: settings.service,
      findings: this.findings,
      emit: this.emit,
      onUnreachable,
    });
    const search = GroupSearch.create({
      registeredAddresses: () =>
        this.registeredAddresses(this.abortController.signal),
      rankAt: (address) => this.ranks.at(address),
      forgetRank: (address) => {
        this.ranks.forget(address);
      },
      onUnreachable,
    });
    this.ranks = RankConnections.create({
      now: () => performance.now(),
      peers: settings.peers,
      connectRunner,
      members: () => this.members.ranks.map(({ address }) => address),
      maps: this.relayedMaps,
      window: SendWindow.create(),
    });
    this.members = GroupMembers.create({
      observeOwn: () => port.observe(),
      discover: (own) => search.find(own),
      rankAt: (address) => this.ranks.at(address),
      onFailure: onUnreachable,
    });
    const guard = HoldGuard.create({
      port,
      emit: this.emit,
      group: () => this.members.read(),
      signal: this.abortController.signal,
      maps: this.relayedMaps,
    });
    this.agent = RankAgent.create({
      port,
      maps: this.relayedMaps,
      onObserved: () => {
        this.candidacy.onObserved();
      },
      onMembers: (epoch, members) => {
        this.members.announce(epoch, members);
      },
      onHold: (hold) => {
        guard.watch(hold);
      },
    });
    this.lease = PlannerLease.create({
      service: leaseService,
      emit: this.emit,
      era: () => options.era.current,
      member: `${name}.${this.incarnation}`,
      leastLeaseMs: store.leastLeaseMs,
    });
    options.era.onNewEra((era) => {
      this.emit(196, { era });
      measurements.set("storeEra", era);
      this.pace.onStoreRolledBack();
      this.groupReporter.forget();
    });
  }

  static async create(options: AgentOptions): Promise<RankAgentProcess> {
    const agent = new RankAgentProcess(options);
    await agent.start();
    return agent;
  }

  /** An agent's settings can't change while it runs. */
  reload(settings: DirectSettings): void {
    const changed = changedFields(this.options.settings, settings);
    this.emit(203, { changed: changed.join(",") });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.abortController.abort();
    this.ranks[Symbol.dispose]();
    await this.peerListener[Symbol.asyncDispose]();
    await pause(LEAVE_GRACE_MS, new AbortController().signal);
    await this.loadHub?.[Symbol.asyncDispose]();
    await this.metricsServer?.[Symbol.asyncDispose]();
    await this.events.close();
  }

  private async start(): Promise<void> {
    const { settings } = this.options;
    const { server } = this.peerListener;
    server.addService(RankAgentService, this.agent.service);
    const peers = hostPortOf(settings.peers);
    await this.peerListener.bind(peers, PLAIN_TRANSPORT);
    if (settings.metrics !== undefined) {
      const metrics = hostPortOf(settings.metrics);
      this.metricsServer = await startMetricsServer(metrics, {
        emit: this.emit,
        measurements: this.measurements,
        metrics: this.registry,
      });
    }
    this.loadHub = await startLoadHub(settings, {
      emit: this.emit,
      measurements: this.measurements,
      isPlanner: () => this.lease.generation !== undefined,
    });
    this.emit(101, {
      role: "agent",
      incarnation: this.incarnation,
      release: RELEASE,
    });
    void this.run(this.abortController.signal);
  }

  private async run(signal: AbortSignal): Promise<void> {
    const own = await this.waitForGroup(signal);
    if (own === undefined) return;
    const { service } = this.options.settings;
    const isCandidate = (): boolean => this.candidacy.isCandidate(own.rank);
    void this.lease.run(`${service}.${own.group}`, signal, isCandidate);
    let planner: GroupPlanner | undefined;
    while (!signal.aborted) {
      if (this.lease.generation === undefined) {
        planner = undefined;
        this.groupReporter.forget();
        this.loadHub?.end();
        const { change } = this.lease;
        await Promise.race([change, pause(SEARCH_INTERVAL_MS, signal)]);
        continue;
      }
      planner = await this.plan(planner, own, signal);
    }
  }

  /** Waits until the runner belongs to a group. */
  private async waitForGroup(
    signal: AbortSignal,
  ): Promise<RankState | undefined> {
    while (!signal.aborted) {
      try {
        const state = await this.port.observe();
        if (state.size > 0) return state;
      } catch (error) {
        this.reportUnreachable(error);
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
    let planner = known;
    try {
      planner ??= await this.createPlanner(own, signal);
      if (planner === undefined) {
        await pause(SEARCH_INTERVAL_MS, signal);
        return undefined;
      }
      const { ranks } = this.members;
      const waitMs = await planner.step(ranks);
      this.failedSteps = 0;
      this.reportGroup(planner, ranks);
      await pause(waitMs, signal);
      return planner;
    } catch (error) {
      this.reportUnreachable(error);
      this.failedSteps += 1;
      const isTolerated =
        planner !== undefined &&
        toFailure(error, 1607).number === 1607 &&
        this.failedSteps <= TOLERATED_FAILED_STEPS;
      // A late answer doesn't make the members or the demand unknown.
      if (isTolerated) {
        await pause(RETRY_INTERVAL_MS, signal);
        return planner;
      }
      this.members.markStale();
      await pause(INCOMPLETE_INTERVAL_MS, signal);
      return undefined;
    }
  }

  /**
   * Publishes the ranks that the planner has just observed completely in its
   * epoch.
   */
  private reportGroup(
    { group, epoch }: GroupPlanner,
    ranks: readonly GroupRank[],
  ): void {
    const { service } = this.options.settings;
    const addresses = ranks.map(({ address }) => address);
    const name = `${service}.${group}`;
    this.loadHub?.begin(name);
    const receiver = this.loadHub?.address;
    const planner = receiver === undefined ? {} : { planner: receiver };
    const note = { name, service, epoch, addresses, ...planner };
    this.groupReporter.report(note, this.lease.generation);
  }

  /** Undefined if the service's engines have no expert maps. */
  private async createPlanner(
    { group }: RankState,
    signal: AbortSignal,
  ): Promise<GroupPlanner | undefined> {
    const engine = await this.engineSource.read(signal);
    if (engine === undefined || engine.expertSets === 0) return undefined;
    await this.members.read();
    const { epoch, rank, size } = await this.port.observe();
    return GroupPlanner.create({
      lease: this.lease,
      coordinators: this.coordinators,
      emit: this.emit,
      measurements: this.measurements,
      pace: this.pace,
      onObserved: (ranks, states) => {
        this.loadHub?.observe(runnerLoadsOf(ranks, states));
      },
      engine,
      group,
      epoch,
      holder: (rank + 1) % size,
    });
  }

  private async registeredAddresses(
    signal: AbortSignal,
  ): Promise<readonly string[]> {
    const { register, settings } = this.options;
    const { records, unreadable } = await register.newest(signal);
    this.findings.reportUnreadable(REGISTER_STREAM, unreadable);
    const addresses = this.registerReader
      .read(records)
      .flatMap(({ server }) => server ?? [])
      .filter(({ service }) => service === settings.service)
      .map(({ address }) => address);
    return [...new Set(addresses)];
  }

  private reportUnreachable(error: unknown): void {
    const { message } = toFailure(error, 1607);
    this.emit(223, { reason: message });
  }
}
