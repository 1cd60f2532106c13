/** Creates the deciding parts of an entry and connects them to each other. */
import type { ServerResponse } from "node:http";
import { sendError } from "../daemon/entry/answer-writer.js";
import type { Emit, Measurements } from "../internal.js";
import { MemoryBudget } from "../intake/memory-budget.js";
import { memoryBytesOf } from "../intake/process-memory.js";
import { RequestMemory, type HeldRequest } from "../intake/request-memory.js";
import { Evacuations } from "../evacuation/evacuations.js";
import { ColdRunners } from "../limits/cold-runners.js";
import { ColdServices } from "../limits/cold-services.js";
import { ColdShares } from "../limits/cold-shares.js";
import { LimitSync } from "../limits/limit-sync.js";
import { RunnerLimits } from "../limits/runner-limits.js";
import { SharingEntries } from "../limits/sharing-entries.js";
import type { EntryLoadClient } from "../loadview/entry-load-client.js";
import type { GroupLoad } from "../loadview/types.js";
import { BackendServerDirectory } from "../membership/directory.js";
import { RegisterReader } from "../membership/register-reader.js";
import { RunnerStatements } from "../membership/runner-statements.js";
import { RunnerGroups } from "../membership/runner-groups.js";
import { SlowRunners } from "../membership/slow-runners.js";
import type { ScheduleAfter } from "../membership/types.js";
import { RecordFindings } from "../platform/record-findings.js";
import type { SiteConfiguration } from "../routing/types.js";
import { SuspectTracker } from "../suspects/suspect-tracker.js";
import { EntryConfiguration } from "./entry-configuration.js";
import { startEntryLoad } from "./entry-load.js";
import type { DirectEntryOptions } from "./entry-options.js";
import { Forwarder } from "./forwarder.js";
import { portState } from "./port-state.js";
import { RequestScheduler } from "./request-scheduler.js";
import { createRequestLimits } from "./request-limits.js";
import { connectRunner, monotonicUnixMs } from "./runner-connections.js";
import { SlowRunnerProbe } from "./slow-runner-probe.js";
import type { DirectCall } from "./types.js";

export interface EntryPartsOptions {
  readonly entry: DirectEntryOptions;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly after: ScheduleAfter;
  readonly onConfigured: (configuration: SiteConfiguration) => void;
}

/** Share of the process's memory that responses may take. */
const RESPONSES_SHARE_OF_MEMORY = 0.25;

const now = (): number => performance.now();

export class EntryParts {
  readonly findings: RecordFindings;
  readonly configuration: EntryConfiguration;
  readonly slowRunners: SlowRunners;
  readonly runnerGroups = RunnerGroups.create();
  readonly evacuations: Evacuations;
  readonly limits: RunnerLimits;
  readonly coldRunners: ColdRunners;
  readonly statements: RunnerStatements;
  readonly sharing: SharingEntries;
  readonly limitSync: LimitSync;
  readonly scheduler: RequestScheduler;
  readonly slowRunnerProbe: SlowRunnerProbe;
  readonly registerReader: RegisterReader;
  readonly directory: BackendServerDirectory;
  readonly suspects: SuspectTracker;
  readonly requestMemory: RequestMemory;
  private readonly coldServices: ColdServices;
  private readonly forwarder: Forwarder;
  private loadClient: EntryLoadClient | undefined;

  private constructor(private readonly options: EntryPartsOptions) {
    const { entry, emit, measurements } = options;
    this.findings = RecordFindings.create({ emit, measurements });
    this.requestMemory = RequestMemory.create({
      memoryBytes: memoryBytesOf(entry.settings),
      share: entry.settings.requestMemoryShare,
      copies: 1,
      emit,
      measurements,
    });
    this.coldServices = ColdServices.create(emit);
    this.coldRunners = this.createColdRunners();
    this.evacuations = this.createEvacuations();
    this.configuration = this.createConfiguration();
    this.slowRunners = SlowRunners.create(now, emit);
    this.limits = this.createLimits();
    const { name } = entry.settings;
    this.sharing = SharingEntries.create({ name, now });
    this.limitSync = this.createLimitSync();
    this.statements = this.createStatements();
    this.scheduler = this.createScheduler();
    this.slowRunnerProbe = this.createProbe();
    this.registerReader = RegisterReader.create({
      decode: entry.decodeServer,
      findings: this.findings,
    });
    this.suspects = this.createSuspects();
    this.directory = this.createDirectory();
    this.forwarder = this.createForwarder();
    this.watchEra();
  }

  static create(options: EntryPartsOptions): EntryParts {
    return new EntryParts(options);
  }

  serve(
    call: DirectCall,
    response: ServerResponse,
    held: HeldRequest,
  ): Promise<void> {
    return this.forwarder.serve(call, response, held);
  }

  /** Starts the shared view of load if the settings ask for one. */
  async startLoadView(): Promise<void> {
    const { entry, emit, measurements } = this.options;
    this.loadClient = await startEntryLoad({
      settings: entry.settings,
      emit,
      measurements,
      runnerGroups: this.runnerGroups,
      ownLoads: () => this.scheduler.ownLoads(),
    });
  }

  async stopLoadView(): Promise<void> {
    await this.loadClient?.[Symbol.asyncDispose]();
    this.loadClient = undefined;
  }

  /** Undefined without a view of the group: the entry decides by itself. */
  groupLoad(group: string): GroupLoad | undefined {
    return this.loadClient?.read(group);
  }

  private createConfiguration(): EntryConfiguration {
    const { entry, emit, measurements, onConfigured } = this.options;
    return EntryConfiguration.create({
      emit,
      measurements,
      findings: this.findings,
      key: entry.configurationKey,
      decode: entry.decodeConfiguration,
      onApplied: (configuration) => {
        this.coldServices.configure(configuration.services);
        this.limitSync.setSharing(this.coldServices.areAny);
        onConfigured(configuration);
      },
    });
  }

  private createColdRunners(): ColdRunners {
    const { emit, measurements } = this.options;
    return ColdRunners.create({
      now,
      emit,
      measurements,
      serviceNamed: (name) => this.coldServices.named(name),
    });
  }

  private createEvacuations(): Evacuations {
    const { entry, emit, measurements, after } = this.options;
    return Evacuations.create({
      now,
      after,
      emit,
      measurements,
      findings: this.findings,
      decode: entry.decodeEvacuation,
      hasRunnersIn: (dataCentre) => this.coldRunners.hasRunnersIn(dataCentre),
      onChanged: (ended) => {
        for (const dataCentre of ended) {
          this.coldRunners.onEvacuationEnded(dataCentre);
        }
        this.scheduler.onUsableRunnersChanged();
      },
    });
  }

  private createStatements(): RunnerStatements {
    const { emit, measurements, after } = this.options;
    return RunnerStatements.create({
      now,
      after,
      emit,
      measurements,
      isRegistered: (runner) => this.directory.has(runner),
      onChanged: () => {
        this.scheduler.onUsableRunnersChanged();
      },
    });
  }

  private createLimits(): RunnerLimits {
    const { emit, measurements } = this.options;
    return RunnerLimits.create({
      now,
      random: Math.random,
      emit,
      measurements,
      onChanged: () => {
        this.limitSync.publish();
      },
    });
  }

  private createLimitSync(): LimitSync {
    const { entry, emit, after } = this.options;
    return LimitSync.create({
      name: entry.settings.name,
      limits: this.limits,
      sharing: this.sharing,
      notes: entry.limitNotes,
      findings: this.findings,
      now,
      after,
      emit,
    });
  }

  private createScheduler(): RequestScheduler {
    const { entry, emit, measurements } = this.options;
    return RequestScheduler.create({
      now,
      random: Math.random,
      emit,
      measurements,
      dataCentre: entry.settings.dataCentre,
      connect: connectRunner,
      isSlow: (address, startedAtMs) =>
        this.slowRunners.isSlow(address, startedAtMs),
      groupOf: (address) => this.runnerGroups.groupOf(address),
      groupLoad: (group) => this.groupLoad(group),
      hasEngine: (service) => {
        const { routes } = this.configuration;
        if (routes === undefined) return true;
        return routes.serviceNamed(service)?.engine !== undefined;
      },
      limits: createRequestLimits({
        limits: this.limits,
        coldRunners: this.coldRunners,
        coldShares: this.createColdShares(),
      }),
      isUsable: ({ dataCentre }) => !this.evacuations.isEvacuated(dataCentre),
      statements: this.statements,
    });
  }

  private createColdShares(): ColdShares {
    const { name, coldOvershoot, coldTolerance } = this.options.entry.settings;
    return ColdShares.create({
      name,
      now,
      random: Math.random,
      bounds: { overshoot: coldOvershoot ?? 1, tolerance: coldTolerance ?? 0 },
      entries: () => this.sharing.names,
    });
  }

  private createProbe(): SlowRunnerProbe {
    const { entry, emit } = this.options;
    return SlowRunnerProbe.create({
      now,
      emit,
      lateServices: () => this.scheduler.lateServices(),
      slownessOf: entry.slownessOf,
      onStatement: (runner, statement) => {
        this.statements.onAnswer(runner, statement, "probe");
      },
      onPaceNote: (note) => {
        this.slowRunners.apply(note);
      },
    });
  }

  private createDirectory(): BackendServerDirectory {
    const { emit, measurements, after } = this.options;
    const { scheduler, slowRunners, suspects, coldRunners, statements } = this;
    return BackendServerDirectory.create({
      now,
      after,
      emit,
      isServiceNamed: (service) =>
        this.configuration.routes?.hasService(service) ?? false,
      onServerAvailable: (server) => {
        scheduler.setServer(server);
        measurements.set("runnersKnown", this.directory.size);
      },
      onServerRegistered: (server) => {
        coldRunners.onRegistered(server);
      },
      onServerUnavailable: (id) => {
        scheduler.removeServer(id);
        coldRunners.forget(id);
        measurements.set("runnersKnown", this.directory.size);
      },
      onServerReplaced: (earlier, later) => {
        scheduler.endIncarnation(earlier, later);
        statements.onReplaced(earlier, later);
        slowRunners.forget(earlier);
        suspects.crashes.onCrashed(earlier.id);
      },
    });
  }

  private createSuspects(): SuspectTracker {
    const { entry, emit, measurements, after } = this.options;
    return SuspectTracker.create({
      name: entry.settings.name,
      notes: entry.suspectNotes,
      findings: this.findings,
      after,
      portState,
      now: monotonicUnixMs,
      emit,
      measurements,
    });
  }

  private createForwarder(): Forwarder {
    const { entry, emit, measurements } = this.options;
    return Forwarder.create({
      scheduler: this.scheduler,
      codec: entry.codec,
      emit,
      measurements,
      suspects: this.suspects,
      limits: this.limits,
      coldRunners: this.coldRunners,
      statements: this.statements,
      budget: MemoryBudget.create(
        memoryBytesOf(entry.settings) * RESPONSES_SHARE_OF_MEMORY,
        (heldBytes) => {
          measurements.set("heldResponseBytes", heldBytes);
        },
      ),
      fail: sendError,
    });
  }

  private watchEra(): void {
    const { entry, emit, measurements } = this.options;
    entry.era.onNewEra((era) => {
      emit(196, { era });
      measurements.set("storeEra", era);
      this.suspects.onStoreRolledBack();
      this.limitSync.onStoreRolledBack();
    });
  }
}
