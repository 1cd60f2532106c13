/** The entry daemon, which serves callers and dispatches to agents. */
import { pause } from "../background-task.js";
import { DaemonCore, type Daemon, type DaemonAddresses } from "../daemon.js";
import { listen, type ListeningServer } from "../listening.js";
import { createContext, type ProcessContext } from "../process-context.js";
import { ConnectionGuard } from "../../intake/connection-guard.js";
import {
  acceptedConnectionLimit,
  descriptorsOf,
} from "../../intake/descriptors.js";
import { memoryBytesOf } from "../../intake/process-memory.js";
import { RequestMemory } from "../../intake/request-memory.js";
import type { EntrySettings } from "../settings.js";
import { BackendDirectory } from "./backend-directory.js";
import { CallerConnections } from "./caller-connections.js";
import { createCallerServer } from "./caller-server.js";
import { queryAttempt } from "./attempt-query.js";
import { ClaimTasks, claimTaskList } from "./claim-tasks.js";
import { RequestDispatcher } from "./request-dispatcher.js";
import { runRequest } from "./request-task.js";
import { Sessions } from "./sessions.js";
import type { AnswerWriter, CallerRequest } from "./caller-request.js";

/** A body as it was read, its prompt, and the message to the agent. */
const COPIES_OF_BODY = 3;
/** An agent's session, and calls beside it. */
const CONNECTIONS_PER_AGENT = 3;
/** Interval of drain checks. */
const DRAIN_POLL_INTERVAL_MS = 50;

export async function startEntry(
  settings: EntrySettings,
  onLeave: () => void,
): Promise<Daemon> {
  const context = createContext(settings);
  return Entry.create(settings, context, onLeave);
}

class Entry implements Daemon {
  private readonly core: DaemonCore;
  private readonly sessions: Sessions;
  private readonly directory: BackendDirectory;
  private readonly claims: ClaimTasks;
  private readonly dispatcher: RequestDispatcher;
  private readonly callers = CallerConnections.create();
  private callerListener!: ListeningServer;

  private constructor(
    private readonly settings: EntrySettings,
    readonly context: ProcessContext,
    onLeave: () => void,
  ) {
    const { platform, transport } = settings;
    this.core = DaemonCore.create({
      settings,
      context,
      isReady: () => this.core.configuration.inForce !== undefined,
      status: () => this.status(),
      onLeave,
    });
    const { log, configuration } = this.core;
    this.sessions = Sessions.create({
      context,
      transport,
      mayRetry: (call) => this.dispatcher.mayRetry(call),
    });
    this.directory = BackendDirectory.create({
      sessions: this.sessions,
      vmList: platform.vmList,
    });
    const queryOptions = {
      context,
      transport,
      addressOf: (agent: string) => this.directory.addressOf(agent),
    };
    this.claims = ClaimTasks.create({
      context,
      log,
      appendsPerSecond: settings.claims.appendsPerSecond,
      ask: (claim, tombstone) => queryAttempt(queryOptions, claim, tombstone),
    });
    this.dispatcher = RequestDispatcher.create({
      context,
      settings: settings.placement,
      sessions: this.sessions,
      directory: this.directory,
      configuration: () => configuration.inForce?.configuration,
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
    return { ...this.core.addresses, callers: this.callerListener.address };
  }

  async leave(): Promise<void> {
    if (!this.core.beginLeaving()) return;
    const { graceMs } = this.settings;
    this.callerListener.stopAccepting();
    this.sessions.leave(graceMs);
    const deadline = Date.now() + graceMs;
    let cutRequests = 0;
    while (!this.sessions.isDrained) {
      if (Date.now() < deadline) cutRequests = this.inFlight;
      await pause(DRAIN_POLL_INTERVAL_MS, this.core.signal);
    }
    if (Date.now() < deadline) cutRequests = 0;
    // Callers may read their answers slowly.
    while (this.callers.hasOpenExchanges && Date.now() < deadline) {
      await pause(DRAIN_POLL_INTERVAL_MS, this.core.signal);
    }
    this.context.emit(103, { cutRequests });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.core.endTasks();
    this.dispatcher[Symbol.dispose]();
    await this.sessions[Symbol.asyncDispose]();
    await this.callerListener[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
  }

  private get inFlight(): number {
    return this.sessions.inFlight;
  }

  private async start(): Promise<void> {
    const { settings, core, directory } = this;
    await core.start([
      { name: "vm-list", run: (signal) => directory.run(signal) },
      ...claimTaskList(this.claims),
    ]);
    const memory = this.createRequestMemory();
    const server = createCallerServer({
      connections: this.callers,
      limits: settings.limits,
      memory,
      guard: this.createConnectionGuard(memory),
      configuration: () => core.configuration.configuration,
      isLeaving: () => core.leaving,
      serve: (callerRequest, writer) => this.serve(callerRequest, writer),
    });
    this.callerListener = await listen(server, settings.callers);
    core.announce();
  }

  private createRequestMemory(): RequestMemory {
    const { settings, context } = this;
    const memory = RequestMemory.create({
      memoryBytes: memoryBytesOf(settings),
      share: settings.limits.requestMemoryShare,
      copies: COPIES_OF_BODY,
      emit: context.emit,
      measurements: context.measurements,
    });
    memory.setLargestBody(settings.limits.bodyBytes);
    return memory;
  }

  private createConnectionGuard(memory: RequestMemory): ConnectionGuard {
    const { settings, context } = this;
    const { limits } = settings;
    const descriptors = descriptorsOf(settings);
    return ConnectionGuard.create({
      listener: "callers",
      maximumConnections: () => {
        const outgoing = CONNECTIONS_PER_AGENT * this.directory.list().length;
        const accepted = acceptedConnectionLimit({ descriptors, outgoing });
        return Math.min(limits.connections, accepted);
      },
      maximumOpenRequests: limits.openRequestsPerConnection,
      memory,
      now: () => performance.now(),
      emit: context.emit,
      measurements: context.measurements,
    });
  }

  private async serve(
    callerRequest: CallerRequest,
    writer: AnswerWriter,
  ): Promise<void> {
    const { id: request, account, profile, acceptedAtMs } = callerRequest;
    const { emit, measurements } = this.context;
    emit(121, { request, account, profile: profile.name });
    const result = runRequest({
      callerRequest,
      writer,
      configuration: this.core.configuration.configuration,
      directory: this.directory,
      dispatcher: this.dispatcher,
      sessions: this.sessions,
      claims: this.claims,
    });
    measurements.set("requestsInFlight", this.inFlight);
    const { outcome } = await result;
    const seconds = (Date.now() - acceptedAtMs) / 1000;
    measurements.observe("requestDuration", seconds, { outcome });
    measurements.set("requestsInFlight", this.inFlight);
  }

  private status(): Readonly<Record<string, unknown>> {
    const sessions = this.sessions.status();
    const { notRun, brokenOff, ...counts } = sessions.conservation;
    return {
      conservation: { ...counts, "not-run": notRun, "broken-off": brokenOff },
      dropped: sessions.dropped,
      waiting: this.dispatcher.waitingCount,
      sessions: sessions.sessions,
      backends: this.directory.list().map(({ vm, session }) => ({
        name: vm.name,
        live: session?.takesWork ?? false,
        inFlight: session?.inFlight ?? 0,
      })),
    };
  }
}
