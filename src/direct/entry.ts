/**
 * An entry of the direct path: forwards callers' requests to runners over HTTP
 * and reads the configuration and the register of runners from the platform's
 * store.
 */
import { randomUUID } from "node:crypto";
import { createServer, type ServerResponse } from "node:http";
import { finished } from "node:stream";
import { sendError } from "../daemon/entry/answer-writer.js";
import { RESET_DELAY_MS, breakOff } from "../daemon/entry/answer-framing.js";
import { pause } from "../daemon/background-task.js";
import { EventLog } from "../daemon/event-log.js";
import { listen, type ListeningServer } from "../daemon/listening.js";
import { registerMetrics } from "../daemon/metrics-registry.js";
import { startMetricsServer } from "../daemon/operators-server.js";
import { HybridClock, type Emit, type Measurements } from "../internal.js";
import { BackendServerDirectory } from "../membership/directory.js";
import { RegisterReader } from "../membership/register-reader.js";
import {
  PACE_STREAM,
  SlowRunners,
  readPaceNotes,
} from "../membership/slow-runners.js";
import {
  GROUPS_STREAM,
  RunnerGroups,
  readGroupNotes,
} from "../membership/runner-groups.js";
import type { ScheduleAfter, RegisterChange } from "../membership/types.js";
import { LIMITS_STREAM, LimitSync } from "../limits/limit-sync.js";
import { RunnerLimits } from "../limits/runner-limits.js";
import { SuspectTracker } from "../suspects/suspect-tracker.js";
import { SUSPECTS_STREAM } from "../suspects/suspect-sync.js";
import type {
  KeyedRecord,
  KeyedTopic,
  KeyedWriter,
} from "../platform/keyed-topic.js";
import { RecordFindings } from "../platform/record-findings.js";
import type { StoreEra } from "../platform/store-era.js";
import { RELEASE } from "../release.js";
import {
  CONFIGURATION_STREAM,
  newestConfiguration,
} from "../routing/newest-configuration.js";
import { RouteTable } from "../routing/route-table.js";
import type { SiteConfiguration } from "../routing/types.js";
import { applyBounds, createCallerListener } from "./caller-listener.js";
import { EntryTopics } from "./entry-topics.js";
import { Forwarder } from "./forwarder.js";
import { SlowRunnerProbe } from "./slow-runner-probe.js";
import { connectRunner, monotonicUnixMs } from "./runner-connections.js";
import { portState } from "./port-state.js";
import { RequestScheduler } from "./request-scheduler.js";
import {
  changedFields,
  hostPortOf,
  type DirectEntrySettings,
  type DirectSettings,
} from "./settings.js";
import type { HeaderCodec } from "./types.js";

export interface DirectEntryOptions {
  readonly settings: DirectEntrySettings;
  readonly codec: HeaderCodec;
  /** Era of the store that holds the topics. */
  readonly era: StoreEra;
  readonly configuration: KeyedTopic;
  /** The key of the configuration's record. */
  readonly configurationKey: string;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decodeConfiguration: (value: Buffer) => SiteConfiguration;
  readonly register: KeyedTopic;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decodeServer: (record: KeyedRecord) => RegisterChange;
  /** Which runners are slow. */
  readonly pace: KeyedTopic;
  /** Which runners form a group. */
  readonly groups: KeyedTopic;
  /**
   * Notes about requests that may have crashed runners. This entry writes its
   * own through `suspectNotes`.
   */
  readonly suspects: KeyedTopic;
  readonly suspectNotes: KeyedWriter;
  /**
   * Limits that runners have named to entries. This entry writes those that it
   * has heard of through `limitNotes`.
   */
  readonly limits: KeyedTopic;
  readonly limitNotes: KeyedWriter;
  /** Ratio of the runner's response time to its usual one. Throws 1607. */
  readonly slownessOf: (address: string) => Promise<number>;
  /** Path of the readiness check of the platform's load balancer. */
  readonly readinessPath: string;
}

export interface EntryAddresses {
  readonly callers: string;
  readonly readiness: string;
  /** Undefined if the settings contain no metrics address. */
  readonly metrics: string | undefined;
}

/**
 * Time after which the load balancer sends no new connections, ms: it checks
 * readiness once a second and reacts to the second failure.
 */
const BALANCER_NOTICE_MS = 2600;
/** Share of the grace period during which running requests may finish. */
const DRAIN_SHARE_OF_GRACE = 0.92;
const DRAIN_POLL_INTERVAL_MS = 50;

export class DirectEntry implements AsyncDisposable {
  private readonly events: EventLog;
  private readonly emit: Emit;
  private readonly measurements: Measurements;
  private readonly registry;
  private readonly scheduler: RequestScheduler;
  private readonly slowRunners: SlowRunners;
  private readonly runnerGroups = RunnerGroups.create();
  private readonly slowRunnerProbe: SlowRunnerProbe;
  private readonly findings: RecordFindings;
  private readonly registerReader: RegisterReader;
  private readonly directory: BackendServerDirectory;
  private readonly suspects: SuspectTracker;
  private readonly limits: RunnerLimits;
  private readonly limitSync: LimitSync;
  private readonly forwarder: Forwarder;
  private readonly stopController = new AbortController();
  private readonly server;
  private routes: RouteTable | undefined;
  private hasReadRegister = false;
  private isLeaving = false;
  private isClosed = false;
  /** Responses that haven't been sent completely. */
  private readonly openResponses = new Set<ServerResponse>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private graceSeconds: number;
  private listeningServers: ListeningServer[] = [];

  private constructor(private readonly options: DirectEntryOptions) {
    const { settings, codec } = options;
    const { name, logLevel, dataCentre } = settings;
    this.graceSeconds = settings.graceSeconds;
    this.events = EventLog.create(name, HybridClock.create(), logLevel);
    const { emit } = this.events;
    this.emit = emit;
    const labels = { process: name, data_centre: dataCentre };
    const { registry, measurements } = registerMetrics(labels);
    this.registry = registry;
    this.measurements = measurements;
    options.era.onNewEra((era) => {
      emit(196, { era });
      measurements.set("storeEra", era);
      this.suspects.onStoreRolledBack();
      this.limitSync.onStoreRolledBack();
    });
    const now = (): number => performance.now();
    const after: ScheduleAfter = (delayMs, action) => {
      this.schedule(delayMs, action);
    };
    const random = Math.random;
    const slowRunners = SlowRunners.create(now, emit);
    this.slowRunners = slowRunners;
    const limits = RunnerLimits.create({
      now,
      random,
      emit,
      measurements,
      onChanged: () => {
        this.limitSync.publish();
      },
    });
    this.limits = limits;
    const scheduler = RequestScheduler.create({
      now,
      random,
      emit,
      measurements,
      dataCentre,
      connect: connectRunner,
      isSlow: (address, startedAtMs) =>
        slowRunners.isSlow(address, startedAtMs),
      groupOf: (address) => this.runnerGroups.groupOf(address),
      limits: {
        isOpen: (runner) => limits.isOpen(runner),
        onSent: (runner) => {
          limits.onSent(runner);
        },
        forget: (runner) => {
          limits.forget(runner);
        },
      },
    });
    this.scheduler = scheduler;
    this.slowRunnerProbe = SlowRunnerProbe.create({
      now,
      emit,
      lateServices: () => scheduler.lateServices(),
      slownessOf: options.slownessOf,
      onPaceNote: (note) => {
        slowRunners.apply(note);
      },
    });
    const findings = RecordFindings.create({ emit, measurements });
    this.findings = findings;
    this.registerReader = RegisterReader.create({
      decode: options.decodeServer,
      findings,
    });
    this.limitSync = LimitSync.create({
      name,
      limits,
      notes: options.limitNotes,
      findings,
      now,
      after,
      emit,
    });
    this.directory = BackendServerDirectory.create({
      now,
      after,
      emit,
      isServiceNamed: (service) => this.routes?.hasService(service) ?? false,
      onServerAvailable: (server) => {
        scheduler.setServer(server);
        measurements.set("runnersKnown", this.runnerCount);
      },
      onServerUnavailable: (id) => {
        scheduler.removeServer(id);
        measurements.set("runnersKnown", this.runnerCount);
      },
      onServerReplaced: (earlier, later) => {
        scheduler.endIncarnation(earlier, later);
        slowRunners.forget(earlier);
        this.suspects.crashes.onCrashed(earlier.id);
      },
    });
    this.suspects = SuspectTracker.create({
      name,
      notes: options.suspectNotes,
      findings,
      after,
      portState,
      now: monotonicUnixMs,
      emit,
      measurements,
    });
    this.forwarder = Forwarder.create({
      scheduler,
      codec,
      emit,
      measurements,
      suspects: this.suspects,
      limits,
      fail: sendError,
    });
    this.server = createCallerListener({
      codec,
      random,
      routes: () => this.routes,
      isLeaving: () => this.isLeaving,
      isClosed: () => this.isClosed,
      serve: async (call, response) => {
        this.openResponses.add(response);
        try {
          await this.forwarder.serve(call, response);
        } finally {
          onceSent(response, () => this.openResponses.delete(response));
        }
      },
      fail: sendError,
    });
  }

  static async create(options: DirectEntryOptions): Promise<DirectEntry> {
    const entry = new DirectEntry(options);
    await entry.start();
    return entry;
  }

  get isReady(): boolean {
    return this.routes !== undefined && this.hasReadRegister && !this.isLeaving;
  }

  /**
   * host:port, with the port assigned by the system where the settings ask for
   * port 0.
   */
  get addresses(): EntryAddresses {
    const [callers, readiness, metrics] = this.listeningServers;
    return {
      callers: callers.address,
      readiness: readiness.address,
      metrics: (metrics as ListeningServer | undefined)?.address,
    };
  }

  /** Number of runners that may receive requests. */
  get runnerCount(): number {
    return this.directory.size;
  }

  /**
   * Applies the settings that can change at run time; the others need a
   * restart.
   */
  reload(settings: DirectSettings): void {
    const changed = changedFields(this.options.settings, settings);
    this.graceSeconds = settings.graceSeconds;
    const needingRestart = changed.filter((field) => field !== "graceSeconds");
    this.emit(203, { changed: needingRestart.join(",") });
  }

  /**
   * Stops accepting requests and waits for running ones within the grace
   * period.
   */
  async leave(): Promise<void> {
    if (this.isLeaving) return;
    this.isLeaving = true;
    const graceMs = this.graceSeconds * 1000;
    this.emit(102, { graceMs });
    for (const response of this.openResponses) announceClose(response);
    const startedAtMs = performance.now();
    const elapsedMs = (): number => performance.now() - startedAtMs;
    while (elapsedMs() < BALANCER_NOTICE_MS)
      await pause(DRAIN_POLL_INTERVAL_MS, this.stopController.signal);
    this.isClosed = true;
    this.server.close();
    while (
      this.openResponses.size > 0 &&
      elapsedMs() < graceMs * DRAIN_SHARE_OF_GRACE
    ) {
      this.server.closeIdleConnections();
      await pause(DRAIN_POLL_INTERVAL_MS, this.stopController.signal);
    }
    this.emit(103, { cutRequests: this.openResponses.size });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopController.abort();
    for (const timer of this.timers) clearTimeout(timer);
    await this.breakOffOpenResponses();
    this.slowRunnerProbe[Symbol.dispose]();
    await Promise.all(
      this.listeningServers.map((listening) =>
        listening[Symbol.asyncDispose](),
      ),
    );
    await this.scheduler.close();
    await this.events.close();
  }

  /**
   * Breaks open responses off visibly. If the process simply closed the
   * connections, a caller would take a partial response that has neither a
   * length nor chunks for a complete one.
   */
  private async breakOffOpenResponses(): Promise<void> {
    if (this.openResponses.size === 0) return;
    for (const response of this.openResponses) breakOff(response);
    await pause(RESET_DELAY_MS, new AbortController().signal);
  }

  private async start(): Promise<void> {
    const { settings } = this.options;
    this.listeningServers = await Promise.all([
      listen(this.server, hostPortOf(settings.callers)),
      listen(this.readinessServer(), hostPortOf(settings.readiness)),
    ]);
    if (settings.metrics !== undefined) {
      const metrics = hostPortOf(settings.metrics);
      this.listeningServers.push(
        await startMetricsServer(metrics, this.registry),
      );
    }
    this.followTopics();
    this.emit(101, {
      role: "entry",
      incarnation: randomUUID(),
      release: RELEASE,
    });
  }

  /** Runs the action after a delay unless the entry has been closed by then. */
  private schedule(delayMs: number, action: () => void): void {
    if (this.stopController.signal.aborted) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }

  private followTopics(): void {
    const { directory, findings, options } = this;
    const topics = EntryTopics.create(
      {
        emit: this.emit,
        measurements: this.measurements,
        findings,
        drainMs: options.settings.drainMs,
      },
      this.stopController.signal,
    );
    topics.followConfiguration(
      options.configuration,
      (records) => {
        this.onConfiguration(records);
      },
      {
        onLost: () => {
          this.slowRunnerProbe.onStoreLost();
        },
        onRestored: () => {
          this.slowRunnerProbe.onStoreRestored();
        },
      },
    );
    topics.followNotes(PACE_STREAM, options.pace, (records) => {
      this.onPaceNotes(records);
    });
    topics.followNotes(GROUPS_STREAM, options.groups, (records) => {
      this.onGroupNotes(records);
    });
    topics.followNotes(SUSPECTS_STREAM, options.suspects, (records) => {
      this.suspects.apply(records);
    });
    topics.followNotes(
      LIMITS_STREAM,
      options.limits,
      (records) => {
        this.limitSync.apply(records);
      },
      () => {
        this.limits.onStoreLost();
      },
    );
    topics.followRegister(
      options.register,
      (records) => {
        this.onRegister(records);
      },
      (records) => {
        directory.apply(this.registerReader.read(records));
        this.hasReadRegister = true;
      },
      {
        onReturned: (lastCallWithoutNewEraAtMs) => {
          directory.onStoreRolledBack(lastCallWithoutNewEraAtMs);
        },
        onLost: () => {
          directory.onStoreLost();
        },
        onRestored: (lastFailedAtMs) => {
          directory.onStoreRestored(lastFailedAtMs);
        },
      },
    );
  }

  private onConfiguration(records: readonly KeyedRecord[]): void {
    const { configurationKey, decodeConfiguration } = this.options;
    const newest = newestConfiguration(records, {
      key: configurationKey,
      decode: decodeConfiguration,
      onUnreadable: ({ key, value }, reason) => {
        const finding = { stream: CONFIGURATION_STREAM, key, content: value };
        if (this.findings.isNew(finding)) this.emit(202, { reason });
      },
    });
    if (newest !== undefined) this.applyConfiguration(newest);
  }

  /**
   * A running process never returns to an older configuration, even if the
   * store does.
   */
  private applyConfiguration(configuration: SiteConfiguration): void {
    const known = this.routes?.version ?? Number.NEGATIVE_INFINITY;
    if (configuration.version <= known) return;
    this.routes = RouteTable.create(configuration);
    applyBounds(this.server, configuration.bounds);
    const { version, routes, accounts } = configuration;
    this.measurements.set("configurationVersion", version);
    this.emit(201, {
      version,
      routes: routes.length,
      accounts: accounts.length,
    });
  }

  private onPaceNotes(records: readonly KeyedRecord[]): void {
    const notes = readPaceNotes(records, this.findings);
    for (const note of notes) this.slowRunners.apply(note);
  }

  private onGroupNotes(records: readonly KeyedRecord[]): void {
    for (const note of readGroupNotes(records, this.findings)) {
      if (!this.runnerGroups.apply(note)) continue;
      const { name: group, epoch, addresses } = note;
      this.emit(234, { group, epoch, ranks: addresses.length });
      this.scheduler.onGroupFormed(group);
    }
    this.measurements.set("runnerGroups", this.runnerGroups.size);
  }

  private onRegister(records: readonly KeyedRecord[]): void {
    const changes = this.registerReader.read(records);
    // Unusable records go first: `replace` removes every server that isn't in
    // its list.
    this.directory.apply(changes.filter(({ isUnusable }) => isUnusable));
    this.directory.replace(changes.flatMap(({ server }) => server ?? []));
    this.hasReadRegister = true;
  }

  private readinessServer(): ReturnType<typeof createServer> {
    return createServer((request, response) => {
      const isReadinessPath = request.url === this.options.readinessPath;
      const ready = isReadinessPath && this.isReady;
      response.writeHead(isReadinessPath ? (ready ? 200 : 503) : 404);
      response.end();
    });
  }
}

/**
 * Calls `onSent` when the response has been sent or its connection is closed. A
 * response whose caller reads slowly is still being sent after its request has
 * finished. If its connection were closed as idle, the caller would take a
 * partial response without a length or chunks for a complete one. Such a
 * response therefore counts as open: shutdown waits for it and breaks it off
 * visibly if the process ends first.
 */
function onceSent(response: ServerResponse, onSent: () => void): void {
  const isSettled = response.writableFinished || response.closed;
  if (isSettled || !response.writableEnded) onSent();
  else finished(response, onSent);
}

/** Tells the caller not to reuse this connection. */
function announceClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
