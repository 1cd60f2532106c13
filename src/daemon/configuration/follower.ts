/**
 * Keeps the configuration in force. A few processes of a data centre read the
 * log; the others follow one of them and fall back to the log. During a log
 * outage a process takes the snapshots of its peers, so that it can start and a
 * version that some have read still spreads.
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
  type Applied,
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
import { reportApplied, type Source } from "./events.js";
import { followPeer } from "./feed-client.js";
import { FEED_HEARTBEAT_MS, FeedServer } from "./feed-server.js";

const LONG_POLL_MS = 2000;
const RETRY_PAUSE_MS = 300;
const CHECKPOINT_CHECK_MS = 5000;

/** A list that fails for long doesn't change who the relays are. */
const LIST_MAXIMUM_AGE_MS = 5000;

export interface FollowerOptions {
  readonly context: ProcessContext;
  readonly log: LogClient;
  /** Address of the platform's list of VMs. */
  readonly vmList: string;
  readonly transport: TransportSettings;
}

export class ConfigurationFollower {
  readonly feed: FeedServer;
  private state: ConfigurationState = initialConfigurationState;
  private source: Source = "log";
  private isFed = false;
  private startOffset = 0;
  private outageSinceMs: number | undefined;
  private vms: readonly Vm[] = [];
  private listedAtMs = Number.NEGATIVE_INFINITY;
  /** Every process follows the list here, and tells once what is odd there. */
  private readonly findings: RecordFindings;

  private constructor(private readonly options: FollowerOptions) {
    this.findings = RecordFindings.create(options.context);
    this.feed = FeedServer.create(options.context, {
      snapshot: () => createCheckpoint(this.state),
      startOffset: () => this.startOffset,
      nextOffset: () => this.state.nextOffset,
      readsLog: () => !this.isFed,
    });
    this.showVersion();
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
      await this.refreshList();
      const relays = this.relaysToFollow();
      const wasFed = await this.followAny(relays, signal);
      this.isFed = false;
      if (!wasFed) await this.readLog(signal);
    }
  }

  /** Heartbeats to the followers. */
  async beat(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.feed.beat();
      await pause(FEED_HEARTBEAT_MS, signal);
    }
  }

  /** Appends the state in good time before the log drops what it rests on. */
  async keepCheckpoints(signal: AbortSignal): Promise<void> {
    const turn = Math.random();
    while (!signal.aborted) {
      if (!this.isFed && isCheckpointDue(this.state, Date.now(), turn)) {
        await this.appendCheckpoint();
      }
      await pause(CHECKPOINT_CHECK_MS, signal);
    }
  }

  private async appendCheckpoint(): Promise<void> {
    const checkpoint = createCheckpoint(this.state);
    if (checkpoint === undefined) return;
    const record = Buffer.from(encodeEnvelope(checkpoint));
    await this.options.log.append(CONFIGURATION_STREAM, [record]);
    this.options.context.emit(115, { asOf: checkpoint.asOf });
  }

  /** Takes a list as the platform's, until it is read again. */
  useList(vms: readonly Vm[]): void {
    this.vms = vms;
    this.listedAtMs = Date.now();
  }

  private async refreshList(): Promise<void> {
    if (Date.now() - this.listedAtMs < LIST_MAXIMUM_AGE_MS) return;
    this.listedAtMs = Date.now();
    try {
      this.useList(await readVmList(this.options.vmList, this.findings));
    } catch {
      // The former list serves on; the log itself is always the fallback.
    }
  }

  /** None for a relay, which reads the log itself. */
  private relaysToFollow(): readonly Vm[] {
    const { name, dataCentre } = this.options.context;
    const relays = chooseRelays(this.vms, dataCentre);
    if (relays.some((relay) => relay.name === name)) return [];
    const first = randomBelow(Math.random, Math.max(relays.length, 1));
    const ordered = [...relays.slice(first), ...relays.slice(0, first)];
    const names = ordered.map((relay) => relay.name);
    return this.vms
      .filter((vm) => names.includes(vm.name))
      .sort((a, b) => names.indexOf(a.name) - names.indexOf(b.name));
  }

  /** Whether one of the relays fed this process for a while. */
  private async followAny(
    relays: readonly Vm[],
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const { address } of relays) {
      await this.follow(address, signal, (batch) => {
        this.takeBatch(batch);
        this.isFed = batch.readsLog;
        return batch.readsLog;
      });
      if (this.isFed) return true;
    }
    return false;
  }

  private async follow(
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
      // The next relay, or the log, is tried.
    }
  }

  private takeBatch(batch: FeedBatch): void {
    this.source = "peer";
    if (batch.snapshot.length > 0) this.takeSnapshot(batch);
    this.startOffset = Math.max(this.startOffset, batch.startOffset);
    this.take(applyRecords(this.state, batch.records), batch.records);
  }

  private takeSnapshot({ snapshot, startOffset }: FeedBatch): void {
    const envelope = parseEnvelope(snapshot).extract();
    if (typeof envelope === "string" || envelope.kind !== "checkpoint") return;
    const before = this.state;
    const applied = adoptSnapshot(before, envelope, startOffset);
    this.take(applied, []);
    if (applied.state !== before) this.feed.publishJump();
  }

  private async readLog(signal: AbortSignal): Promise<void> {
    const from = this.state.nextOffset;
    try {
      const page = await this.options.log.read(CONFIGURATION_STREAM, {
        from,
        waitMs: this.outageSinceMs === undefined ? LONG_POLL_MS : 0,
        signal,
      });
      this.onLogAnswered();
      this.takePage(page);
    } catch (error) {
      if (signal.aborted) return;
      const problem = toFailure(error, 1901);
      if (problem.number === 1902) {
        this.onLogAnswered();
        this.skip(Number(problem.detail.startOffset));
        return;
      }
      this.onLogFailed(problem.message);
      await this.askPeers(signal);
      await pause(RETRY_PAUSE_MS, signal);
    }
  }

  private takePage({ startOffset, records }: LogPage): void {
    this.source = "log";
    this.skip(startOffset);
    this.take(applyRecords(this.state, records), records);
  }

  private skip(startOffset: number): void {
    this.startOffset = Math.max(this.startOffset, startOffset);
    const before = this.state;
    this.state = skipTrimmed(before, startOffset);
    if (this.state === before) return;
    const version = before.inForce?.version ?? -1;
    this.options.context.emit(114, { heldFrom: startOffset, version });
  }

  private take(applied: Applied, records: readonly LogRecord[]): void {
    const before = this.state;
    this.state = applied.state;
    this.showVersion();
    reportApplied(before, applied, this.source, this.options.context.emit);
    this.feed.publish(records);
  }

  private showVersion(): void {
    const version = this.state.inForce?.version ?? -1;
    this.options.context.measurements.set("configurationVersion", version);
  }

  /** The first snapshot that a peer has to give. */
  private async askPeers(signal: AbortSignal): Promise<void> {
    const { name } = this.options.context;
    const peers = this.vms.filter((vm) => vm.name !== name && vm.address);
    if (peers.length === 0) return;
    const { address } = peers[randomBelow(Math.random, peers.length)];
    await this.follow(address, signal, (batch) => {
      this.takeBatch(batch);
      return false;
    });
  }

  private onLogFailed(reason: string): void {
    if (this.outageSinceMs !== undefined) return;
    this.outageSinceMs = Date.now();
    const stream = CONFIGURATION_STREAM;
    this.options.context.emit(191, { stream, reason });
  }

  private onLogAnswered(): void {
    if (this.outageSinceMs === undefined) return;
    const outageMs = Date.now() - this.outageSinceMs;
    this.outageSinceMs = undefined;
    const stream = CONFIGURATION_STREAM;
    this.options.context.emit(192, { stream, outageMs });
  }
}
