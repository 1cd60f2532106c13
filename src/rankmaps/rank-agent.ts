/**
 * gRPC service of the agent on a rank's VM. Answers the group's planner from
 * the agent's own runner, whose counters are current and cost nothing to read
 * locally.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import { toFailure } from "../internal.js";
import type {
  GuardReply,
  GuardRequest,
  ObserveReply,
  ObserveRequest,
  RankAgentServer,
  RankOrderReply,
  RankOrderRequest,
} from "../wire/generated/rankmaps.js";
import { CountDeltas } from "./count-deltas.js";
import { applyChange } from "./map-changes.js";
import type { ChangeOrder, PrepareOrder } from "./map-sender.js";
import {
  expertsOfSameIncarnation,
  readOrder,
  writeObservation,
  writeResult,
} from "./rank-messages.js";
import type { RelayedMaps } from "./relayed-maps.js";
import type { Observation, RankPort, WatchedHold } from "./types.js";

export interface RankAgentOptions {
  readonly port: RankPort;
  readonly maps: RelayedMaps;
  /**
   * Called when a planner or the guard of a held step observes this agent's
   * rank.
   */
  readonly onObserved: () => void;
  /**
   * host:port of the group's runners in the epoch, as announced by its planner.
   */
  readonly onMembers: (epoch: number, members: readonly string[]) => void;
  /** Called before the planner orders this agent's rank to hold a step. */
  readonly onHold: (hold: WatchedHold) => void;
}

const UNKNOWN_ORDER_REPLY: RankOrderReply = {
  isAccepted: false,
  isFenced: false,
  status: 0,
  isDone: false,
  startedAtMs: undefined,
  isBaseUnknown: false,
};

const BASE_UNKNOWN_REPLY: RankOrderReply = {
  ...UNKNOWN_ORDER_REPLY,
  isBaseUnknown: true,
};

export class RankAgent {
  private readonly deltas = CountDeltas.create(() => performance.now());
  private countedAtMs = performance.now();

  private constructor(private readonly options: RankAgentOptions) {}

  static create(options: RankAgentOptions): RankAgent {
    return new RankAgent(options);
  }

  get service(): RankAgentServer {
    return {
      observe: (
        call: ServerUnaryCall<ObserveRequest, ObserveReply>,
        reply: sendUnaryData<ObserveReply>,
      ) => {
        void answer(reply, async () =>
          writeObservation(
            await this.observe(call.request),
            call.request.readsPackedCounts,
          ),
        );
      },
      order: (
        call: ServerUnaryCall<RankOrderRequest, RankOrderReply>,
        reply: sendUnaryData<RankOrderReply>,
      ) => {
        void answer(reply, () => this.order(call.request));
      },
      guard: (
        call: ServerUnaryCall<GuardRequest, GuardReply>,
        reply: sendUnaryData<GuardReply>,
      ) => {
        const { epoch, fencing, ...hold } = call.request;
        const { startedAtMs } = hold;
        const fence = { epoch, fencing };
        this.options.onHold({ ...hold, startedAtMs, fence });
        reply(null, {});
      },
    };
  }

  async observe(
    request: Pick<ObserveRequest, "withCounts" | "withExperts">,
  ): Promise<Observation> {
    const { port, onObserved, maps } = this.options;
    onObserved();
    const { withCounts, withExperts } = request;
    const [state, counted, held] = await Promise.all([
      port.observe(),
      withCounts ? port.counts() : undefined,
      withExperts ? port.experts() : undefined,
    ]);
    const counts = counted === undefined ? [] : this.deltas.update(counted);
    const countedMs = counted === undefined ? 0 : this.elapsedMs();
    return {
      state,
      counts,
      countedMs,
      experts: expertsOfSameIncarnation(state, held),
      knownMap: maps.latestVersion,
    };
  }

  async order(request: RankOrderRequest): Promise<RankOrderReply> {
    const received = readOrder(request);
    if (received === undefined) return UNKNOWN_ORDER_REPLY;
    const order =
      received.kind === "change" ? this.assemble(received) : received;
    if (order === undefined) return BASE_UNKNOWN_REPLY;
    const { epoch, fencing, members } = request;
    const fence = { epoch, fencing };
    if (members.length > 0) this.options.onMembers(epoch, members);
    if (order.kind === "prepare") this.options.maps.record(order);
    return writeResult(await this.options.port.order(order, fence));
  }

  /** Undefined unless the whole map is the one that the planner has. */
  private assemble(change: ChangeOrder): PrepareOrder | undefined {
    const base = this.options.maps.find(change.baseVersion);
    const sets =
      base === undefined ? undefined : applyChange(base.sets, change);
    if (sets === undefined) return undefined;
    return { kind: "prepare", version: change.version, sets };
  }

  private elapsedMs(): number {
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.countedAtMs;
    this.countedAtMs = nowMs;
    return elapsedMs;
  }
}

async function answer<T>(
  reply: sendUnaryData<T>,
  work: () => Promise<T>,
): Promise<void> {
  try {
    reply(null, await work());
  } catch (error) {
    reply(toFailure(error, 1607), null);
  }
}
