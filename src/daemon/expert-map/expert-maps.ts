/**
 * Manages the expert maps of one agent: waits for the published shape of its
 * group, and takes part in map switches until that shape changes.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import {
  createEvenMap,
  createRandom,
  raise,
  type Configuration,
  type ExpertMap,
  type GroupShape,
  type ModelGroup,
  type ProposalOutcome,
  type StepReport,
  type VersionedMap,
} from "../../internal.js";
import { LogClient } from "../../platform/log-client.js";
import type {
  DeliverReply,
  DescribeReply,
  DescribeRequest,
  ExpertMapsServer,
  MapEnvelope,
} from "../../wire/generated/expertmap.js";
import { pause } from "../background-task.js";
import type { ProcessContext } from "../process-context.js";
import type { AgentSettings } from "../settings.js";
import { EngineClient } from "./engine-client.js";
import { GroupMembership } from "./group-membership.js";
import { MapMetrics } from "./map-metrics.js";
import { MapLog } from "./map-log.js";
import { MapTask } from "./map-task.js";
import { MapPeers } from "./peers.js";
import { fromBody } from "./wire.js";

export interface ExpertMapsOptions {
  readonly context: ProcessContext;
  readonly settings: AgentSettings;
  readonly weightStore: string;
  /** Undefined until a configuration is in force. */
  readonly configuration: () => Configuration | undefined;
  /** Receives each step report of the local engine's ranks once. */
  readonly onSteps: (reports: readonly StepReport[]) => void;
}

const SHAPE_POLL_INTERVAL_MS = 200;
const MEMBERS_POLL_INTERVAL_MS = 1_000;
/** A part this small uploads in milliseconds, and a failed one costs little. */
const WEIGHT_PART_BYTES = 1024 * 1024;
const FIRST_VERSION = 1;

export class ExpertMaps implements AsyncDisposable {
  readonly service: ExpertMapsServer;
  private readonly engine: EngineClient;
  private readonly peers: MapPeers;
  private readonly metrics: MapMetrics;
  private readonly mapLog: MapLog;
  private task: MapTask | undefined;

  private constructor(private readonly options: ExpertMapsOptions) {
    const { context, settings } = options;
    this.engine = EngineClient.create(settings.runner.address);
    this.peers = MapPeers.create(context, settings.transport);
    this.metrics = MapMetrics.create(context.measurements);
    const log = LogClient.create(settings.platform.log);
    this.mapLog = MapLog.create(log, settings.group);
    this.service = {
      deliver: (call, reply) => {
        this.deliver(call, reply);
      },
      describe: (call, reply) => {
        this.describe(call, reply);
      },
    };
  }

  static create(options: ExpertMapsOptions): ExpertMaps {
    return new ExpertMaps(options);
  }

  get status(): Readonly<Record<string, unknown>> {
    const state = this.task?.engineState;
    if (state === undefined) return { group: null };
    const { group, version, mapHash, step, heldMs, armed, members } = state;
    return {
      group,
      version,
      mapHash,
      step,
      heldMs,
      armed: armed?.proposal ?? null,
      members: members.map(({ member }) => member),
    };
  }

  get mapInForce(): VersionedMap | undefined {
    return this.task?.mapInForce;
  }

  /**
   * First member of the group; undefined while it or its host:port is unknown.
   */
  get leader():
    { readonly name: string; readonly address: string } | undefined {
    const name = this.task?.engineState?.members.at(0)?.member;
    if (name === undefined) return undefined;
    const address = this.peers.addressOf(name) ?? "";
    const isKnown = address !== "" || name === this.options.settings.name;
    return isKnown ? { name, address } : undefined;
  }

  /** Runs until the signal aborts or the published shape changes. */
  async run(signal: AbortSignal): Promise<void> {
    const group = await this.awaitPublishedGroup(signal);
    if (group === undefined) return;
    const runController = new AbortController();
    const runSignal = AbortSignal.any([signal, runController.signal]);
    const task = await this.createTask(group);
    this.task = task;
    try {
      await Promise.all([
        task.run(runSignal),
        this.followMembers(task, group, runSignal),
        this.mapLog.appendUntilAborted(() => this.mapToRecord(task), runSignal),
        this.abortOnShapeChange(group, runController, runSignal),
      ]);
    } finally {
      runController.abort();
      this.task = undefined;
    }
  }

  /**
   * Proposes a map to the group and resolves with the outcome. Throws 1602,
   * 1603, 1604 or 1606 if the map wasn't put to the vote.
   */
  async proposeMap(
    map: ExpertMap,
    timeoutMs: number,
  ): Promise<ProposalOutcome> {
    const { task } = this;
    if (task === undefined) return raise(1606);
    return task.proposeMap(map, timeoutMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.peers[Symbol.dispose]();
    await this.engine[Symbol.asyncDispose]();
  }

  private deliver(
    { request }: ServerUnaryCall<MapEnvelope, DeliverReply>,
    reply: sendUnaryData<DeliverReply>,
  ): void {
    const { clock } = this.options.context;
    clock.observe(request.clock);
    const message = request.body && fromBody(request.body);
    if (message !== undefined) this.task?.deliver(request.from, message);
    reply(null, { clock: clock.read() });
  }

  private describe(
    { request }: ServerUnaryCall<DescribeRequest, DescribeReply>,
    reply: sendUnaryData<DescribeReply>,
  ): void {
    const { context, settings } = this.options;
    context.clock.observe(request.clock);
    const { group, ranks, name: member } = settings;
    const clock = context.clock.read();
    reply(null, { clock, member, group, ranks: [...ranks] });
  }

  private async createTask(group: ModelGroup): Promise<MapTask> {
    const { context, settings, weightStore, onSteps } = this.options;
    const recorded = await this.mapLog.read();
    const initial = {
      version: FIRST_VERSION,
      map: createEvenMap(groupShape(group)),
    };
    return MapTask.create({
      member: settings.name,
      agent: `${settings.name}/${context.incarnation}`,
      model: group.model,
      initial: hasShapeOf(recorded, group) ? recorded : initial,
      fetch: {
        bytesPerExpert: group.bytesPerExpert,
        bytesPerSecond: settings.limits.weightBytesPerSecond,
        partBytes: WEIGHT_PART_BYTES,
      },
      weightStore,
      emit: context.emit,
      random: createRandom(Math.floor(Math.random() * 2 ** 31)),
      engine: this.engine,
      peers: this.peers,
      metrics: this.metrics,
      onSteps,
    });
  }

  private publishedGroup(): ModelGroup | undefined {
    const { settings, configuration } = this.options;
    const group = configuration()?.groups.find(
      ({ name }) => name === settings.group,
    );
    return group?.kind === "model" ? group : undefined;
  }

  private async awaitPublishedGroup(
    signal: AbortSignal,
  ): Promise<ModelGroup | undefined> {
    for (;;) {
      const group = this.publishedGroup();
      if (group !== undefined || signal.aborted) return group;
      await pause(SHAPE_POLL_INTERVAL_MS, signal);
    }
  }

  private async abortOnShapeChange(
    group: ModelGroup,
    runController: AbortController,
    signal: AbortSignal,
  ): Promise<void> {
    const initialGroup = JSON.stringify(group);
    while (!signal.aborted) {
      await pause(SHAPE_POLL_INTERVAL_MS, signal);
      const current = this.publishedGroup();
      if (current !== undefined && JSON.stringify(current) !== initialGroup) {
        runController.abort();
      }
    }
  }

  private async followMembers(
    task: MapTask,
    group: ModelGroup,
    signal: AbortSignal,
  ): Promise<void> {
    const { settings } = this.options;
    const membership = GroupMembership.create({
      vmList: settings.platform.vmList,
      group: settings.group,
      own: { member: settings.name, ranks: settings.ranks },
      peers: this.peers,
    });
    while (!signal.aborted) {
      try {
        const current = task.engineState?.members ?? [];
        const members = await membership.read(group.ranks, current);
        if (members !== undefined) task.setMembers(members);
      } catch {
        // The VM list is unavailable: the group keeps its members.
      }
      await pause(MEMBERS_POLL_INTERVAL_MS, signal);
    }
  }

  /** Only the first member of the group records the map. */
  private mapToRecord(task: MapTask): VersionedMap | undefined {
    const first = task.engineState?.members.at(0)?.member;
    return first === this.options.settings.name ? task.mapInForce : undefined;
  }
}

function groupShape(group: ModelGroup): GroupShape {
  const { ranks, layers, experts, slotsPerRank } = group;
  return { ranks, layers, experts, slotsPerRank };
}

function hasShapeOf(
  recorded: VersionedMap | undefined,
  { ranks, layers, experts, slotsPerRank }: ModelGroup,
): recorded is VersionedMap {
  if (recorded === undefined) return false;
  const { shape } = recorded.map;
  return (
    shape.ranks === ranks &&
    shape.layers === layers &&
    shape.experts === experts &&
    shape.slotsPerRank === slotsPerRank
  );
}
