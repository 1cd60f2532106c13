/**
 * What the daemons of both roles share: the configuration in force, the
 * operators' address, the server towards other daemons, and background tasks.
 */
import { Server } from "@grpc/grpc-js";
import { LogClient } from "../platform/log-client.js";
import { RELEASE } from "../release.js";
import { ConfigurationFeedService } from "../wire/generated/configuration.js";
import { runTask } from "./background-task.js";
import { ConfigurationFollower } from "./configuration/follower.js";
import type { Listening } from "./listening.js";
import { startOperatorsServer } from "./operators-server.js";
import { bindServer } from "./peer-server.js";
import type { ProcessContext } from "./process-context.js";
import type { Settings } from "./settings.js";
import { channelOptions } from "./transport.js";

export interface DaemonAddresses {
  readonly operators: string;
  readonly peers?: string;
  readonly callers?: string;
}

export interface Daemon extends AsyncDisposable {
  readonly context: ProcessContext;
  readonly addresses: DaemonAddresses;
  /** Resolves when the daemon has left and ended its work. */
  readonly leave: () => Promise<void>;
}

/** Runs until the signal aborts; started again when it ends before. */
export interface DaemonTask {
  readonly name: string;
  readonly run: (signal: AbortSignal) => Promise<void>;
}

export interface DaemonCoreOptions {
  readonly settings: Settings;
  readonly context: ProcessContext;
  readonly isReady: () => boolean;
  /** The role's own part of the status. */
  readonly status: () => Readonly<Record<string, unknown>>;
  /** An operator wants the process to leave. */
  readonly onLeave: () => void;
}

export class DaemonCore implements AsyncDisposable {
  readonly log: LogClient;
  readonly configuration: ConfigurationFollower;
  readonly server = new Server(channelOptions);
  leaving = false;
  private readonly stop = new AbortController();
  private peers = "";
  private operators: Listening | undefined;

  private constructor(private readonly options: DaemonCoreOptions) {
    const { settings, context } = options;
    const { platform, transport } = settings;
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

  /** Aborts when the daemon ends. */
  get signal(): AbortSignal {
    return this.stop.signal;
  }

  get addresses(): DaemonAddresses {
    return { operators: this.operators?.address ?? "", peers: this.peers };
  }

  /** Once the role has added its services to the server. */
  async start(tasks: readonly DaemonTask[]): Promise<void> {
    const { settings, context, isReady, onLeave: leave } = this.options;
    const { configuration, server } = this;
    this.operators = await startOperatorsServer(settings.operators, {
      events: context.events,
      metrics: context.metrics,
      isReady: () => !this.leaving && isReady(),
      status: () => this.status(),
      leave,
    });
    this.runTasks([...this.configurationTasks(), ...tasks]);
    server.addService(ConfigurationFeedService, configuration.feed.service);
    this.peers = await bindServer(server, settings);
  }

  /** To be called when the daemon accepts work. */
  announce(): void {
    const { context, settings } = this.options;
    const { incarnation } = context;
    context.emit(101, { role: settings.role, incarnation, release: RELEASE });
  }

  /** False when it was leaving already. */
  beginLeaving(): boolean {
    if (this.leaving) return false;
    this.leaving = true;
    const { context, settings } = this.options;
    context.emit(102, { graceMs: settings.graceMs });
    return true;
  }

  /** Ends all tasks; the role ends its own parts between this and disposal. */
  endTasks(): void {
    this.stop.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.endTasks();
    this.server.forceShutdown();
    await this.operators?.[Symbol.asyncDispose]();
    await this.options.context.events.close();
  }

  private configurationTasks(): readonly DaemonTask[] {
    const { configuration } = this;
    return [
      { name: "configuration", run: (signal) => configuration.run(signal) },
      {
        name: "configuration-feed",
        run: (signal) => configuration.beat(signal),
      },
      {
        name: "checkpoints",
        run: (signal) => configuration.keepCheckpoints(signal),
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
