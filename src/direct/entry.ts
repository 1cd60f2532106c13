/**
 * An entry of the direct path: forwards callers' requests to runners over HTTP
 * and reads the configuration and the register of runners from the platform's
 * store.
 */
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import { sendError } from "../daemon/entry/answer-writer.js";
import { pause } from "../daemon/background-task.js";
import { EventLog } from "../daemon/event-log.js";
import { listen, type ListeningServer } from "../daemon/listening.js";
import { registerMetrics } from "../daemon/metrics-registry.js";
import { startMetricsServer } from "../daemon/operators-server.js";
import { createSmallServer } from "../daemon/small-server.js";
import { ConnectionGuard } from "../intake/connection-guard.js";
import {
  acceptedConnectionLimit,
  descriptorsOf,
} from "../intake/descriptors.js";
import { HybridClock, type Emit, type Measurements } from "../internal.js";
import { RELEASE } from "../release.js";
import { applyBounds, createCallerListener } from "./caller-listener.js";
import type { DirectEntryOptions } from "./entry-options.js";
import { EntryParts } from "./entry-parts.js";
import { EntryRecords } from "./entry-records.js";
import { OpenResponses } from "./open-responses.js";
import { MAXIMUM_CONNECTIONS_PER_RUNNER } from "./runner-connections.js";
import { changedFields, hostPortOf, type DirectSettings } from "./settings.js";

export type { DirectEntryOptions };

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
  private readonly registry;
  private readonly measurements: Measurements;
  private readonly parts: EntryParts;
  private readonly records: EntryRecords;
  private readonly stopController = new AbortController();
  private readonly server;
  private isLeaving = false;
  private isClosed = false;
  private readonly openResponses = OpenResponses.create();
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
    const parts = EntryParts.create({
      entry: options,
      emit,
      measurements,
      after: (delayMs, action) => {
        this.schedule(delayMs, action);
      },
      onConfigured: ({ bounds }) => {
        applyBounds(this.server, bounds);
        this.parts.requestMemory.setLargestBody(bounds.bodyBytes);
      },
    });
    this.parts = parts;
    this.records = EntryRecords.create({
      entry: options,
      parts,
      emit,
      measurements,
    });
    this.server = createCallerListener({
      codec,
      random: Math.random,
      routes: () => parts.configuration.routes,
      isLeaving: () => this.isLeaving,
      isClosed: () => this.isClosed,
      memory: parts.requestMemory,
      guard: this.createConnectionGuard(),
      serve: (call, response, held) =>
        this.openResponses.during(response, () =>
          parts.serve(call, response, held),
        ),
      fail: sendError,
    });
  }

  static async create(options: DirectEntryOptions): Promise<DirectEntry> {
    const entry = new DirectEntry(options);
    await entry.start();
    return entry;
  }

  get isReady(): boolean {
    return this.records.areRead && !this.isLeaving;
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
    return this.parts.directory.size;
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
    this.openResponses.announceClose();
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
    await this.openResponses.breakOff();
    this.parts.slowRunnerProbe[Symbol.dispose]();
    await this.parts.stopLoadView();
    await Promise.all(
      this.listeningServers.map((listening) =>
        listening[Symbol.asyncDispose](),
      ),
    );
    await this.parts.scheduler.close();
    await this.events.close();
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
        await startMetricsServer(metrics, {
          emit: this.emit,
          measurements: this.measurements,
          metrics: this.registry,
        }),
      );
    }
    await this.parts.startLoadView();
    this.records.follow(this.stopController.signal);
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

  private createConnectionGuard(): ConnectionGuard {
    const { settings } = this.options;
    const descriptors = descriptorsOf(settings);
    return ConnectionGuard.create({
      listener: "callers",
      maximumConnections: () =>
        acceptedConnectionLimit({
          descriptors,
          outgoing: MAXIMUM_CONNECTIONS_PER_RUNNER * this.runnerCount,
        }),
      maximumOpenRequests: settings.openRequestsPerConnection,
      memory: this.parts.requestMemory,
      now: () => performance.now(),
      emit: this.emit,
      measurements: this.measurements,
    });
  }

  private readinessServer(): Server {
    return createSmallServer({
      listener: "readiness",
      emit: this.emit,
      measurements: this.measurements,
      handle: (request, response) => {
        const isReadinessPath = request.url === this.options.readinessPath;
        const ready = isReadinessPath && this.isReady;
        const status = isReadinessPath ? (ready ? 200 : 503) : 404;
        response.writeHead(status, { "content-length": 0 }).end();
      },
    });
  }
}
