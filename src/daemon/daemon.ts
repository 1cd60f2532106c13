/**
 * Parts that daemons of both roles share: the current configuration, the HTTP
 * server for operators, the server for other daemons, and background tasks.
 */
import type { Server } from "@grpc/grpc-js";
import { LogClient } from "../platform/log-client.js";
import { RELEASE } from "../release.js";
import { ConfigurationFeedService } from "../wire/generated/configuration.js";
import { runTask } from "./background-task.js";
import { ConfigurationFollower } from "./configuration/follower.js";
import type { ListeningServer } from "./listening.js";
import { startOperatorsServer } from "./operators-server.js";
import { PeerListener } from "./peer-listener.js";
import type { ProcessContext } from "./process-context.js";
import type { Settings } from "./settings.js";

export interface DaemonAddresses {
  readonly operators: string;
  readonly peers?: string;
  readonly callers?: string;
}

export interface Daemon extends AsyncDisposable {
  readonly context: ProcessContext;
  readonly addresses: DaemonAddresses;
  /** Shuts down gracefully; resolves once the running work has ended. */
  readonly leave: () => Promise<void>;
}

/** Runs until the signal aborts; restarted if it ends earlier. */
export interface DaemonTask {
  readonly name: string;
  readonly run: (signal: AbortSignal) => Promise<void>;
}

export interface DaemonCoreOptions {
  readonly settings: Settings;
  readonly context: ProcessContext;
  readonly isReady: () => boolean;
  /** The role-specific part of the status. */
  readonly status: () => Readonly<Record<string, unknown>>;
  /** Called when an operator requests a graceful shutdown. */
  readonly onLeave: () => void;
}

export class DaemonCore implements AsyncDisposable {
  readonly log: LogClient;
  readonly configuration: ConfigurationFollower;
  private readonly peerListener: PeerListener;
  leaving = false;
  private readonly stopController = new AbortController();
  private peerAddress = "";
  private operatorsServer: ListeningServer | undefined;

  private constructor(private readonly options: DaemonCoreOptions) {
    const { settings, context } = options;
    const { platform, transport } = settings;
    this.peerListener = PeerListener.create({ ...context, settings });
    this.log = LogClient.create(platform.log);
    this.configuration = ConfigurationFollower.create({
      context,
      log: this.log,
      vmList: platform.vmList,
      transport,
    });
  }

  static create(options: DaemonCoreOptions): DaemonCore {
    return new DaemonCore(options);
  }

  /** Serves other daemons. */
  get server(): Server {
    return this.peerListener.server;
  }

  /** Aborts when the daemon ends. */
  get signal(): AbortSignal {
    return this.stopController.signal;
  }

  get addresses(): DaemonAddresses {
    return {
      operators: this.operatorsServer?.address ?? "",
      peers: this.peerAddress,
    };
  }

  /** Must be called after the role has added its services to the server. */
  async start(tasks: readonly DaemonTask[]): Promise<void> {
    const { settings, context, isReady, onLeave: leave } = this.options;
    const { configuration, server } = this;
    this.operatorsServer = await startOperatorsServer(settings.operators, {
      events: context.events,
      emit: context.emit,
      measurements: context.measurements,
      metrics: context.metrics,
      isReady: () => !this.leaving && isReady(),
      status: () => this.status(),
      leave,
    });
    this.runTasks([...this.configurationTasks(), ...tasks]);
    server.addService(ConfigurationFeedService, configuration.feed.service);
    const { peers, transport } = settings;
    this.peerAddress = await this.peerListener.bind(peers, transport);
  }

  /** Emits `process-started`; must be called once the daemon accepts work. */
  announce(): void {
    const { context, settings } = this.options;
    const { incarnation } = context;
    context.emit(101, { role: settings.role, incarnation, release: RELEASE });
  }

  /** Returns false if the daemon is already leaving. */
  beginLeaving(): boolean {
    if (this.leaving) return false;
    this.leaving = true;
    const { context, settings } = this.options;
    context.emit(102, { graceMs: settings.graceMs });
    return true;
  }

  /**
   * Stops all tasks. The role closes its own parts between this and disposal.
   */
  endTasks(): void {
    this.stopController.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.endTasks();
    await this.peerListener[Symbol.asyncDispose]();
    await this.operatorsServer?.[Symbol.asyncDispose]();
    await this.options.context.events.close();
  }

  private configurationTasks(): readonly DaemonTask[] {
    const { configuration } = this;
    return [
      { name: "configuration", run: (signal) => configuration.run(signal) },
      {
        name: "configuration-feed",
        run: (signal) => configuration.sendHeartbeats(signal),
      },
      {
        name: "checkpoints",
        run: (signal) => configuration.appendDueCheckpoints(signal),
      },
    ];
  }

  private runTasks(tasks: readonly DaemonTask[]): void {
    const { emit } = this.options.context;
    const { signal } = this;
    for (const { name, run } of tasks)
      void runTask({ name, emit, signal, run });
  }

  private status(): unknown {
    const { context, settings, status } = this.options;
    const { inForce, summary } = this.configuration;
    const { name, dataCentre, incarnation } = context;
    return {
      name,
      role: settings.role,
      dataCentre,
      incarnation,
      release: RELEASE,
      leaving: this.leaving,
      version: inForce?.version ?? null,
      hash: inForce?.hash ?? null,
      configuration: summary,
      ...status(),
    };
  }
}
