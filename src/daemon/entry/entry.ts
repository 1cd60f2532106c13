/** The daemon of an entry VM. */
import { listen, type Listening } from "../listening.js";
import { runTask } from "../background-task.js";
import { ConfigurationFollower } from "../configuration/follower.js";
import { startOperatorsServer } from "../operators-server.js";
import { RELEASE } from "../../release.js";
import { createContext, type ProcessContext } from "../process-context.js";
import type { EntrySettings } from "../settings.js";
import { Server } from "@grpc/grpc-js";
import { bindServer } from "../peer-server.js";
import { channelOptions } from "../transport.js";
import { ConfigurationFeedService } from "../../wire/generated/configuration.js";
import { LogClient } from "../../platform/log-client.js";
import { BackendDirectory } from "./backend-directory.js";
import { askAgent } from "./claim-asker.js";
import { ClaimTasks, claimTaskList } from "./claim-tasks.js";
import { createCallerServer } from "./caller-server.js";
import { RequestDispatcher } from "./request-dispatcher.js";
import { runRequest } from "./request-task.js";
import { Sessions } from "./sessions.js";
import type { AnswerWriter, Work } from "./work.js";
import { pause } from "../background-task.js";

const DRAIN_CHECK_MS = 50;

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

export async function startEntry(
  settings: EntrySettings,
  onLeave: () => void,
): Promise<Daemon> {
  const context = createContext(settings);
  return Entry.create(settings, context, onLeave);
}

class Entry implements Daemon {
  private readonly stop = new AbortController();
  private readonly sessions: Sessions;
  private readonly configuration: ConfigurationFollower;
  private readonly directory: BackendDirectory;
  private readonly claims: ClaimTasks;
  private readonly dispatcher: RequestDispatcher;
  private readonly server = new Server(channelOptions);
  private leaving = false;
  private peers = "";
  private callers!: Listening;
  private operators!: Listening;

  private constructor(
    private readonly settings: EntrySettings,
    readonly context: ProcessContext,
    private readonly onLeave: () => void,
  ) {
    const { platform, transport } = settings;
    const log = LogClient.create(platform.log);
    this.sessions = Sessions.create({
      context,
      transport,
      mayRetry: (call) => this.dispatcher.mayRetry(call),
    });
    this.configuration = ConfigurationFollower.create({
      context,
      log,
      vmList: platform.vmList,
      transport: settings.transport,
    });
    this.directory = BackendDirectory.create({
      sessions: this.sessions,
      vmList: platform.vmList,
    });
    const asker = {
      context,
      transport,
      addressOf: (agent: string) => this.directory.addressOf(agent),
    };
    this.claims = ClaimTasks.create({
      context,
      log,
      appendsPerSecond: settings.claims.appendsPerSecond,
      ask: (claim, tombstone) => askAgent(asker, claim, tombstone),
    });
    this.dispatcher = RequestDispatcher.create({
      context,
      settings: settings.placement,
      sessions: this.sessions,
      directory: this.directory,
      configuration: () => this.configuration.inForce?.configuration,
    });
  }

  static async create(
    settings: EntrySettings,
    context: ProcessContext,
    onLeave: () => void,
  ): Promise<Entry> {
    const entry = new Entry(settings, context, onLeave);
    await entry.start();
    return entry;
  }

  get addresses(): DaemonAddresses {
    const { callers, operators } = this;
    return {
      callers: callers.address,
      operators: operators.address,
      peers: this.peers,
    };
  }

  async leave(): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    const { graceMs } = this.settings;
    this.context.emit(102, { graceMs });
    this.callers.stopAccepting();
    this.sessions.leave(graceMs);
    const deadline = Date.now() + graceMs;
    let cutRequests = 0;
    while (!this.sessions.isDrained) {
      if (Date.now() < deadline) cutRequests = this.inFlight;
      await pause(DRAIN_CHECK_MS, this.stop.signal);
    }
    if (Date.now() < deadline) cutRequests = 0;
    // The last bytes of the last answers are still on their way out.
    await pause(DRAIN_CHECK_MS, this.stop.signal);
    this.context.emit(103, { cutRequests });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    this.dispatcher[Symbol.dispose]();
    await this.sessions[Symbol.asyncDispose]();
    this.server.forceShutdown();
    await this.callers[Symbol.asyncDispose]();
    await this.operators[Symbol.asyncDispose]();
  }

  private get inFlight(): number {
    return this.sessions.inFlight;
  }

  private async start(): Promise<void> {
    const { settings, context, configuration, directory } = this;
    const { signal } = this.stop;
    const { emit } = context;
    this.operators = await startOperatorsServer(settings.operators, {
      events: context.events,
      metrics: context.metrics,
      isReady: () => configuration.inForce !== undefined && !this.leaving,
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
    void runTask({
      name: "vm-list",
      emit,
      signal,
      run: (s) => directory.run(s),
    });
    for (const { name, run } of claimTaskList(this.claims)) {
      void runTask({ name, emit, signal, run });
    }
    this.server.addService(
      ConfigurationFeedService,
      configuration.feed.service,
    );
    this.peers = await bindServer(this.server, settings);
    const server = createCallerServer({
      limits: settings.limits,
      configuration: () => configuration.configuration,
      isLeaving: () => this.leaving,
      serve: (work, writer) => this.serve(work, writer),
    });
    this.callers = await listen(server, settings.callers);
    const { incarnation } = context;
    emit(101, { role: "entry", incarnation, release: RELEASE });
  }

  private async serve(work: Work, writer: AnswerWriter): Promise<void> {
    const { id: request, account, profile, acceptedAtMs } = work;
    const { emit, measurements } = this.context;
    emit(121, { request, account, profile: profile.name });
    const finished = runRequest({
      work,
      writer,
      configuration: this.configuration.configuration,
      directory: this.directory,
      dispatcher: this.dispatcher,
      sessions: this.sessions,
      claims: this.claims,
    });
    measurements.set("requestsInFlight", this.inFlight);
    const { outcome } = await finished;
    const seconds = (Date.now() - acceptedAtMs) / 1000;
    measurements.observe("requestDuration", seconds, { outcome });
    measurements.set("requestsInFlight", this.inFlight);
  }

  private status(): unknown {
    const { context, configuration, directory } = this;
    const sessions = this.sessions.status();
    const { notRun, brokenOff, ...counts } = sessions.conservation;
    const { inForce } = configuration;
    return {
      name: context.name,
      role: "entry",
      dataCentre: context.dataCentre,
      incarnation: context.incarnation,
      release: RELEASE,
      leaving: this.leaving,
      version: inForce?.version ?? null,
      hash: inForce?.hash ?? null,
      configuration: configuration.summary,
      conservation: { ...counts, "not-run": notRun, "broken-off": brokenOff },
      dropped: sessions.dropped,
      waiting: this.dispatcher.waitingCount,
      sessions: sessions.sessions,
      backends: directory.all().map(({ vm, session }) => ({
        name: vm.name,
        live: session?.takesWork ?? false,
        inFlight: session?.inFlight ?? 0,
      })),
    };
  }
}
