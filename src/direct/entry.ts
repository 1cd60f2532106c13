/**
 * An entry of the direct path: callers on one side, runners on the other, and
 * the platform's store for what the operator wants and who serves.
 */
import { randomUUID } from "node:crypto";
import { createServer, type ServerResponse } from "node:http";
import { finished } from "node:stream";
import { sendError } from "../daemon/entry/answer-writer.js";
import { RESET_DELAY_MS, breakOff } from "../daemon/entry/answer-framing.js";
import { pause } from "../daemon/background-task.js";
import { EventLog } from "../daemon/event-log.js";
import { listen, type Listening } from "../daemon/listening.js";
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
import type { After, RegisterChange } from "../membership/types.js";
import { SuspectDesk } from "../suspects/suspect-desk.js";
import { SUSPECTS_STREAM } from "../suspects/suspect-notes.js";
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
import { PaceInquiry } from "./pace-inquiry.js";
import { connectRunner, steadyUnixMs } from "./runner-connections.js";
import { portState } from "./port-state.js";
import { ServiceGate } from "./service-gate.js";
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
  /** Of the store that holds the topics. */
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
  /** Which requests may have crashed runners, and where this entry tells. */
  readonly suspects: KeyedTopic;
  readonly suspectNotes: KeyedWriter;
  /** How many times as long as usual a runner takes. Throws 1607. */
  readonly slownessOf: (address: string) => Promise<number>;
  /** Path that the platform's balancer asks. */
  readonly readinessPath: string;
}

export interface EntryAddresses {
  readonly callers: string;
  readonly readiness: string;
  /** Undefined where the settings name none. */
  readonly metrics: string | undefined;
}

/**
 * New connections come until the balancer has noticed, which asks once a
 * second and believes the second miss, ms.
 */
const NOTICE_MS = 2600;
/** Part of the grace period in which running requests may end. */
const GRACE_SHARE = 0.92;
const DRAIN_POLL_MS = 50;

export class DirectEntry implements AsyncDisposable {
  private readonly events: EventLog;
  private readonly emit: Emit;
  private readonly measurements: Measurements;
  private readonly registry;
  private readonly gate: ServiceGate;
  private readonly slowRunners: SlowRunners;
  private readonly runnerGroups = RunnerGroups.create();
  private readonly paceInquiry: PaceInquiry;
  private readonly findings: RecordFindings;
  private readonly registerReader: RegisterReader;
  private readonly directory: BackendServerDirectory;
  private readonly suspects: SuspectDesk;
  private readonly forwarder: Forwarder;
  private readonly stop = new AbortController();
  private readonly server;
  private routes: RouteTable | undefined;
  private hasRegister = false;
  private isLeaving = false;
  private isClosed = false;
  /** Answers to the requests that are being served. */
  private readonly open = new Set<ServerResponse>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private graceSeconds: number;
  private listening: Listening[] = [];

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
    options.era.onRise((era) => {
      emit(196, { era });
      measurements.set("storeEra", era);
      this.suspects.onStoreReturned();
    });
    const now = (): number => performance.now();
    const after: After = (delayMs, action) => {
      this.after(delayMs, action);
    };
    const random = Math.random;
    const slowRunners = SlowRunners.create(now, emit);
    this.slowRunners = slowRunners;
    const gate = ServiceGate.create({
      now,
      random,
      emit,
      dataCentre,
      connect: connectRunner,
      isSlow: (address, startedAtMs) =>
        slowRunners.isSlow(address, startedAtMs),
      groupOf: (address) => this.runnerGroups.groupOf(address),
    });
    this.gate = gate;
    this.paceInquiry = PaceInquiry.create({
      now,
      emit,
      lateServices: () => gate.lateServices(),
      slownessOf: options.slownessOf,
      take: (note) => {
        slowRunners.take(note);
      },
    });
    const findings = RecordFindings.create({ emit, measurements });
    this.findings = findings;
    this.registerReader = RegisterReader.create({
      decode: options.decodeServer,
      findings,
    });
    this.directory = BackendServerDirectory.create({
      now,
      after,
      emit,
      isServiceNamed: (service) => this.routes?.namesService(service) ?? false,
      onServer: (server) => {
        gate.setServer(server);
        measurements.set("runnersKnown", this.runnerCount);
      },
      onGone: (id) => {
        gate.removeServer(id);
        measurements.set("runnersKnown", this.runnerCount);
      },
      onEnded: (earlier, later) => {
        gate.endLife(earlier, later);
        slowRunners.forget(earlier);
        this.suspects.crashes.onCrashed(earlier.id);
      },
    });
    this.suspects = SuspectDesk.create({
      name,
      notes: options.suspectNotes,
      findings,
      after,
      portState,
      now: steadyUnixMs,
      emit,
      measurements,
    });
    this.forwarder = Forwarder.create({
      gate,
      codec,
      emit,
      measurements,
      suspects: this.suspects,
      fail: sendError,
    });
    this.server = createCallerListener({
      codec,
      random,
      routes: () => this.routes,
      isLeaving: () => this.isLeaving,
      isClosed: () => this.isClosed,
      serve: async (call, response) => {
        this.open.add(response);
        try {
          await this.forwarder.serve(call, response);
        } finally {
          whenSent(response, () => this.open.delete(response));
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
    return this.routes !== undefined && this.hasRegister && !this.isLeaving;
  }

  /** host:port, with the ports that the system handed out. */
  get addresses(): EntryAddresses {
    const [callers, readiness, metrics] = this.listening;
    return {
      callers: callers.address,
      readiness: readiness.address,
      metrics: (metrics as Listening | undefined)?.address,
    };
  }

  /** Runners that may get work. */
  get runnerCount(): number {
    return this.directory.size;
  }

  /** Takes over what can change while it runs; the rest needs a restart. */
  reload(settings: DirectSettings): void {
    const changed = changedFields(this.options.settings, settings);
    this.graceSeconds = settings.graceSeconds;
    const waiting = changed.filter((field) => field !== "graceSeconds");
    this.emit(203, { changed: waiting.join(",") });
  }

  /** Ends what runs, as far as the grace period allows. */
  async leave(): Promise<void> {
    if (this.isLeaving) return;
    this.isLeaving = true;
    const graceMs = this.graceSeconds * 1000;
    this.emit(102, { graceMs });
    for (const response of this.open) announceClose(response);
    const startedAtMs = performance.now();
    const elapsed = (): number => performance.now() - startedAtMs;
    while (elapsed() < NOTICE_MS) await pause(DRAIN_POLL_MS, this.stop.signal);
    this.isClosed = true;
    this.server.close();
    while (this.open.size > 0 && elapsed() < graceMs * GRACE_SHARE) {
      this.server.closeIdleConnections();
      await pause(DRAIN_POLL_MS, this.stop.signal);
    }
    this.emit(103, { cutRequests: this.open.size });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    for (const timer of this.timers) clearTimeout(timer);
    await this.breakOffOpen();
    this.paceInquiry[Symbol.dispose]();
    await Promise.all(
      this.listening.map((listening) => listening[Symbol.asyncDispose]()),
    );
    await this.gate.close();
    await this.events.close();
  }

  /** Closed with the process, an answer without length would pass for whole. */
  private async breakOffOpen(): Promise<void> {
    if (this.open.size === 0) return;
    for (const response of this.open) breakOff(response);
    await pause(RESET_DELAY_MS, new AbortController().signal);
  }

  private async start(): Promise<void> {
    const { settings } = this.options;
    this.listening = await Promise.all([
      listen(this.server, hostPortOf(settings.callers)),
      listen(this.readinessServer(), hostPortOf(settings.readiness)),
    ]);
    if (settings.metrics !== undefined) {
      const metrics = hostPortOf(settings.metrics);
      this.listening.push(await startMetricsServer(metrics, this.registry));
    }
    this.follow();
    this.emit(101, {
      role: "entry",
      incarnation: randomUUID(),
      release: RELEASE,
    });
  }

  /** Not run any more once the entry is closed. */
  private after(delayMs: number, action: () => void): void {
    if (this.stop.signal.aborted) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }

  private follow(): void {
    const { directory, findings, options } = this;
    const topics = EntryTopics.create(
      {
        emit: this.emit,
        measurements: this.measurements,
        findings,
        drainMs: options.settings.drainMs,
      },
      this.stop.signal,
    );
    topics.followConfiguration(
      options.configuration,
      (records) => {
        this.onConfiguration(records);
      },
      {
        onLost: () => {
          this.paceInquiry.onStoreLost();
        },
        onRestored: () => {
          this.paceInquiry.onStoreRestored();
        },
      },
    );
    topics.followNotes(PACE_STREAM, options.pace, (records) => {
      this.onPace(records);
    });
    topics.followNotes(GROUPS_STREAM, options.groups, (records) => {
      this.onGroups(records);
    });
    topics.followNotes(SUSPECTS_STREAM, options.suspects, (records) => {
      this.suspects.take(records);
    });
    topics.followRegister(
      options.register,
      (records) => {
        this.onRegister(records);
      },
      (records) => {
        directory.apply(this.registerReader.read(records));
        this.hasRegister = true;
      },
      {
        onReturned: (lastBeforeMs) => {
          directory.onStoreReturned(lastBeforeMs);
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
    if (newest !== undefined) this.take(newest);
  }

  /**
   * In one life a process never goes back to an older configuration, also when
   * the store does.
   */
  private take(configuration: SiteConfiguration): void {
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

  private onPace(records: readonly KeyedRecord[]): void {
    const notes = readPaceNotes(records, this.findings);
    for (const note of notes) this.slowRunners.take(note);
  }

  private onGroups(records: readonly KeyedRecord[]): void {
    for (const note of readGroupNotes(records, this.findings)) {
      if (!this.runnerGroups.take(note)) continue;
      const { name: group, epoch, addresses } = note;
      this.emit(234, { group, epoch, ranks: addresses.length });
      this.gate.onGroupFormed(group);
    }
    this.measurements.set("runnerGroups", this.runnerGroups.size);
  }

  private onRegister(records: readonly KeyedRecord[]): void {
    const changes = this.registerReader.read(records);
    // Before what isn't there any more is taken for removed.
    this.directory.apply(changes.filter(({ isUnusable }) => isUnusable));
    this.directory.replace(changes.flatMap(({ server }) => server ?? []));
    this.hasRegister = true;
  }

  private readinessServer(): ReturnType<typeof createServer> {
    return createServer((request, response) => {
      const isKnown = request.url === this.options.readinessPath;
      const ready = isKnown && this.isReady;
      response.writeHead(isKnown ? (ready ? 200 : 503) : 404);
      response.end();
    });
  }
}

/**
 * Calls back once the answer has left the process or its connection is gone. An
 * answer whose caller reads late waits here after its request is over. Closed
 * like an idle connection's then, part of an answer without length or chunks
 * would pass for all of it; as an open answer it is waited for, and broken off
 * visibly if the process ends first.
 */
function whenSent(response: ServerResponse, onSent: () => void): void {
  const isOver = response.writableFinished || response.closed;
  if (isOver || !response.writableEnded) onSent();
  else finished(response, onSent);
}

/** So that the caller sends nothing more on this connection. */
function announceClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
