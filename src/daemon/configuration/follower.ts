/**
 * Keeps this process's configuration up to date. A few processes of a data
 * centre, its relays, read the log; the others follow a relay and fall back to
 * the log. During a log outage a process adopts snapshots of its peers, so that
 * it can start, and a version that only some processes have read still spreads.
 */
import {
  adoptSnapshot,
  applyRecords,
  chooseRelays,
  CONFIGURATION_STREAM,
  createCheckpoint,
  encodeEnvelope,
  initialConfigurationState,
  isCheckpointDue,
  parseEnvelope,
  raise,
  randomBelow,
  skipTrimmed,
  toFailure,
  type ApplyResult,
  type Configuration,
  type ConfigurationInForce,
  type ConfigurationState,
  type LogRecord,
} from "../../internal.js";
import type { LogClient, LogPage } from "../../platform/log-client.js";
import { RecordFindings } from "../../platform/record-findings.js";
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import type { FeedBatch } from "../../wire/generated/configuration.js";
import { pause } from "../background-task.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import {
  emitConfigurationEvents,
  type ConfigurationSource,
} from "./configuration-events.js";
import { followPeer } from "./feed-client.js";
import { FEED_HEARTBEAT_INTERVAL_MS, FeedServer } from "./feed-server.js";

const LONG_POLL_TIMEOUT_MS = 2000;
const RETRY_INTERVAL_MS = 300;
const CHECKPOINT_CHECK_INTERVAL_MS = 5000;

/** An older VM list is read again; if that fails, the relays stay the same. */
const MAXIMUM_VM_LIST_AGE_MS = 5000;

export interface FollowerOptions {
  readonly context: ProcessContext;
  readonly log: LogClient;
  /** URL of the platform's VM list. */
  readonly vmList: string;
  readonly transport: TransportSettings;
}

export class ConfigurationFollower {
  readonly feed: FeedServer;
  private state: ConfigurationState = initialConfigurationState;
  private source: ConfigurationSource = "log";
  private isFollowingRelay = false;
  private logStartOffset = 0;
  private logOutageStartedAtMs: number | undefined;
  private vms: readonly Vm[] = [];
  private vmsReadAtMs = Number.NEGATIVE_INFINITY;
  /**
   * Every process reads the VM list here; each problem in it is reported once.
   */
  private readonly vmListFindings: RecordFindings;

  private constructor(private readonly options: FollowerOptions) {
    this.vmListFindings = RecordFindings.create(options.context);
    this.feed = FeedServer.create(options.context, {
      snapshot: () => createCheckpoint(this.state),
      startOffset: () => this.logStartOffset,
      nextOffset: () => this.state.nextOffset,
      readsLog: () => !this.isFollowingRelay,
    });
    this.updateVersionMetric();
  }

  static create(options: FollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  get inForce(): ConfigurationInForce | undefined {
    return this.state.inForce ?? undefined;
  }

  /** Throws 1103 before the first version is known. */
  get configuration(): Configuration {
    return this.state.inForce?.configuration ?? raise(1103);
  }

  /** For the status of the process. */
  get summary(): Readonly<Record<string, string | number | boolean | null>> {
    const { state, source, feed } = this;
    return {
      source,
      nextOffset: state.nextOffset,
      undecided: state.chain.kind === "unknown",
      notUnderstood: state.notUnderstood?.version ?? null,
      followers: feed.followers,
    };
  }

  /** Follows a relay or the log until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refreshVms();
      const relays = this.relaysToFollow();
      const didFollowRelay = await this.followFirstRelay(relays, signal);
      this.isFollowingRelay = false;
      if (!didFollowRelay) await this.readLog(signal);
    }
  }

  /** Sends heartbeats to the followers until the signal aborts. */
  async sendHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.feed.sendHeartbeat();
      await pause(FEED_HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  /** Appends checkpoints before the log trims the records they summarize. */
  async appendDueCheckpoints(signal: AbortSignal): Promise<void> {
    const checkpointJitter = Math.random();
    while (!signal.aborted) {
      if (
        !this.isFollowingRelay &&
        isCheckpointDue(this.state, Date.now(), checkpointJitter)
      ) {
        await this.appendCheckpoint();
      }
      await pause(CHECKPOINT_CHECK_INTERVAL_MS, signal);
    }
  }

  private async appendCheckpoint(): Promise<void> {
    const checkpoint = createCheckpoint(this.state);
    if (checkpoint === undefined) return;
    const record = Buffer.from(encodeEnvelope(checkpoint));
    await this.options.log.append(CONFIGURATION_STREAM, [record]);
    this.options.context.emit(115, { asOf: checkpoint.asOf });
  }

  /** Replaces the VM list until it is next read from the platform. */
  setVms(vms: readonly Vm[]): void {
    this.vms = vms;
    this.vmsReadAtMs = Date.now();
  }

  private async refreshVms(): Promise<void> {
    if (Date.now() - this.vmsReadAtMs < MAXIMUM_VM_LIST_AGE_MS) return;
    this.vmsReadAtMs = Date.now();
    try {
      this.setVms(await readVmList(this.options.vmList, this.vmListFindings));
    } catch {
      // The previous list stays in use, and the log is always the fallback.
    }
  }

  /** In random rotation; empty for a relay, which reads the log itself. */
  private relaysToFollow(): readonly Vm[] {
    const { name, dataCentre } = this.options.context;
    const relays = chooseRelays(this.vms, dataCentre);
    if (relays.some((relay) => relay.name === name)) return [];
    const startIndex = randomBelow(Math.random, Math.max(relays.length, 1));
    const ordered = [
      ...relays.slice(startIndex),
      ...relays.slice(0, startIndex),
    ];
    const names = ordered.map((relay) => relay.name);
    return this.vms
      .filter((vm) => names.includes(vm.name))
      .sort((a, b) => names.indexOf(a.name) - names.indexOf(b.name));
  }

  /**
   * Tries relays in turn; returns whether one that reads the log was followed.
   */
  private async followFirstRelay(
    relays: readonly Vm[],
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const { address } of relays) {
      await this.followPeerAt(address, signal, (batch) => {
        this.applyBatch(batch);
        this.isFollowingRelay = batch.readsLog;
        return batch.readsLog;
      });
      if (this.isFollowingRelay) return true;
    }
    return false;
  }

  private async followPeerAt(
    address: string,
    signal: AbortSignal,
    onBatch: (batch: FeedBatch) => boolean,
  ): Promise<void> {
    const { context, transport } = this.options;
    const fromOffset = this.state.nextOffset;
    try {
      await followPeer({
        context,
        transport,
        address,
        fromOffset,
        signal,
        onBatch,
      });
    } catch {
      // Callers try the next relay or read the log.
    }
  }

  private applyBatch(batch: FeedBatch): void {
    this.source = "peer";
    if (batch.snapshot.length > 0) this.applySnapshot(batch);
    this.logStartOffset = Math.max(this.logStartOffset, batch.startOffset);
    this.commit(applyRecords(this.state, batch.records), batch.records);
  }

  private applySnapshot({ snapshot, startOffset }: FeedBatch): void {
    const envelope = parseEnvelope(snapshot).extract();
    if (typeof envelope === "string" || envelope.kind !== "checkpoint") return;
    const before = this.state;
    const applied = adoptSnapshot(before, envelope, startOffset);
    this.commit(applied, []);
    if (applied.state !== before) this.feed.publishSnapshot();
  }

  private async readLog(signal: AbortSignal): Promise<void> {
    const from = this.state.nextOffset;
    try {
      const page = await this.options.log.read(CONFIGURATION_STREAM, {
        from,
        waitMs:
          this.logOutageStartedAtMs === undefined ? LONG_POLL_TIMEOUT_MS : 0,
        signal,
      });
      this.onLogAnswered();
      this.applyPage(page);
    } catch (error) {
      if (signal.aborted) return;
      const failure = toFailure(error, 1901);
      if (failure.number === 1902) {
        this.onLogAnswered();
        this.skipTrimmedRecords(Number(failure.detail.startOffset));
        return;
      }
      this.onLogFailed(failure.message);
      await this.fetchPeerSnapshot(signal);
      await pause(RETRY_INTERVAL_MS, signal);
    }
  }

  private applyPage({ startOffset, records }: LogPage): void {
    this.source = "log";
    this.skipTrimmedRecords(startOffset);
    this.commit(applyRecords(this.state, records), records);
  }

  private skipTrimmedRecords(startOffset: number): void {
    this.logStartOffset = Math.max(this.logStartOffset, startOffset);
    const before = this.state;
    this.state = skipTrimmed(before, startOffset);
    if (this.state === before) return;
    const version = before.inForce?.version ?? -1;
    this.options.context.emit(114, { heldFrom: startOffset, version });
  }

  private commit(applied: ApplyResult, records: readonly LogRecord[]): void {
    const before = this.state;
    this.state = applied.state;
    this.updateVersionMetric();
    emitConfigurationEvents(
      before,
      applied,
      this.source,
      this.options.context.emit,
    );
    this.feed.publish(records);
  }

  private updateVersionMetric(): void {
    const version = this.state.inForce?.version ?? -1;
    this.options.context.measurements.set("configurationVersion", version);
  }

  /** Applies the first batch, with any snapshot, of a randomly chosen peer. */
  private async fetchPeerSnapshot(signal: AbortSignal): Promise<void> {
    const { name } = this.options.context;
    const peers = this.vms.filter((vm) => vm.name !== name && vm.address);
    if (peers.length === 0) return;
    const { address } = peers[randomBelow(Math.random, peers.length)];
    await this.followPeerAt(address, signal, (batch) => {
      this.applyBatch(batch);
      return false;
    });
  }

  private onLogFailed(reason: string): void {
    if (this.logOutageStartedAtMs !== undefined) return;
    this.logOutageStartedAtMs = Date.now();
    const stream = CONFIGURATION_STREAM;
    this.options.context.emit(191, { stream, reason });
  }

  private onLogAnswered(): void {
    if (this.logOutageStartedAtMs === undefined) return;
    const outageMs = Date.now() - this.logOutageStartedAtMs;
    this.logOutageStartedAtMs = undefined;
    const stream = CONFIGURATION_STREAM;
    this.options.context.emit(192, { stream, outageMs });
  }
}
