/**
 * The expert maps of one agent: waits for the published shape of its group, and
 * runs the switch for as long as that shape stands.
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
import { MapRecord } from "./map-record.js";
import { MapTask } from "./map-task.js";
import { MapPeers } from "./peers.js";
import { fromBody } from "./wire.js";

export interface ExpertMapsOptions {
  readonly context: ProcessContext;
  readonly settings: AgentSettings;
  readonly weightStore: string;
  /** Undefined until a configuration is in force. */
  readonly configuration: () => Configuration | undefined;
  /** Told of the step reports of the own engine's ranks, each once. */
  readonly onSteps: (reports: readonly StepReport[]) => void;
}

const WAIT_MS = 200;
const MEMBERS_INTERVAL_MS = 1_000;
/** One part takes milliseconds to hand over, and little is lost with it. */
const PART_BYTES = 1024 * 1024;
const FIRST_VERSION = 1;

export class ExpertMaps implements AsyncDisposable {
  readonly service: ExpertMapsServer;
  private readonly engine: EngineClient;
  private readonly peers: MapPeers;
  private readonly metrics: MapMetrics;
  private readonly record: MapRecord;
  private task: MapTask | undefined;

  private constructor(private readonly options: ExpertMapsOptions) {
    const { context, settings } = options;
    this.engine = EngineClient.create(settings.runner.address);
    this.peers = MapPeers.create(context, settings.transport);
    this.metrics = MapMetrics.create(context.measurements);
    const log = LogClient.create(settings.platform.log);
    this.record = MapRecord.create(log, settings.group);
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

  /** First member of the group with its host:port, as far as known here. */
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
    const shape = await this.awaitShape(signal);
    if (shape === undefined) return;
    const ended = new AbortController();
    const either = AbortSignal.any([signal, ended.signal]);
    const task = await this.createTask(shape);
    this.task = task;
    try {
      await Promise.all([
        task.run(either),
        this.followMembers(task, shape, either),
        this.record.keep(() => this.mapToRecord(task), either),
        this.watchShape(shape, ended, either),
      ]);
    } finally {
      ended.abort();
      this.task = undefined;
    }
  }

  /**
   * Puts a map to the group and resolves with its outcome. Throws 1602, 1603,
   * 1604 or 1606 when it wasn't put to the vote.
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

  private async createTask(shape: ModelGroup): Promise<MapTask> {
    const { context, settings, weightStore, onSteps } = this.options;
    const recorded = await this.record.read();
    const initial = {
      version: FIRST_VERSION,
      map: createEvenMap(shapeOf(shape)),
    };
    return MapTask.create({
      member: settings.name,
      agent: `${settings.name}/${context.incarnation}`,
      model: shape.model,
      initial: fits(recorded, shape) ? recorded : initial,
      fetch: {
        bytesPerExpert: shape.bytesPerExpert,
        bytesPerSecond: settings.limits.weightBytesPerSecond,
        partBytes: PART_BYTES,
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

  private publishedShape(): ModelGroup | undefined {
    const { settings, configuration } = this.options;
    const group = configuration()?.groups.find(
      ({ name }) => name === settings.group,
    );
    return group?.kind === "model" ? group : undefined;
  }

  private async awaitShape(
    signal: AbortSignal,
  ): Promise<ModelGroup | undefined> {
    for (;;) {
      const shape = this.publishedShape();
      if (shape !== undefined || signal.aborted) return shape;
      await pause(WAIT_MS, signal);
    }
  }

  private async watchShape(
    shape: ModelGroup,
    ended: AbortController,
    signal: AbortSignal,
  ): Promise<void> {
    const known = JSON.stringify(shape);
    while (!signal.aborted) {
      await pause(WAIT_MS, signal);
      const present = this.publishedShape();
      if (present !== undefined && JSON.stringify(present) !== known) {
        ended.abort();
      }
    }
  }

  private async followMembers(
    task: MapTask,
    shape: ModelGroup,
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
        const present = task.engineState?.members ?? [];
        const members = await membership.read(shape.ranks, present);
        if (members !== undefined) task.setMembers(members);
      } catch {
        // The list is out for now; the group stays as it is.
      }
      await pause(MEMBERS_INTERVAL_MS, signal);
    }
  }

  /** The first member records for all. */
  private mapToRecord(task: MapTask): VersionedMap | undefined {
    const first = task.engineState?.members.at(0)?.member;
    return first === this.options.settings.name ? task.mapInForce : undefined;
  }
}

function shapeOf(group: ModelGroup): GroupShape {
  const { ranks, layers, experts, slotsPerRank } = group;
  return { ranks, layers, experts, slotsPerRank };
}

function fits(
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
