/** A rank of the group as its planner reaches it: over the agent beside it. */
import {
  Metadata,
  type ChannelOptions,
  type ServiceError,
} from "@grpc/grpc-js";
import { channelOptions, clientCredentials } from "../daemon/transport.js";
import type { TransportSettings } from "../daemon/settings.js";
import { failure } from "../internal.js";
import {
  RankAgentClient,
  type GuardReply,
  type ObserveReply,
  type ObserveRequest,
  type RankOrderReply,
} from "../wire/generated/rankmaps.js";
import { readObservation, readResult, writeOrder } from "./rank-messages.js";
import type {
  AgentOrder,
  Observation,
  OrderFence,
  OrderResult,
  WatchedHold,
} from "./types.js";

/**
 * An agent answers in a few milliseconds; a rank whose answer takes longer is
 * asked again, because a step may be held meanwhile.
 */
const CALL_TIMEOUT_MS = 250;

/** A place of a map in a message, with its share of the lists' heads, bytes. */
const BYTES_EACH_PLACE = 2.3;
/** Half of a link of 5.6 Mbit/s. */
const SLOWEST_BYTES_EACH_MS = 350;

/**
 * Between two attempts to connect, ms. The library begins with a second, which
 * a group that restarts as a whole would have to wait for its last agent.
 */
const FIRST_RECONNECT_MS = 100;
const LONGEST_RECONNECT_MS = 1000;

const rankChannelOptions: ChannelOptions = {
  ...channelOptions,
  "grpc.initial_reconnect_backoff_ms": FIRST_RECONNECT_MS,
  "grpc.min_reconnect_backoff_ms": FIRST_RECONNECT_MS,
  "grpc.max_reconnect_backoff_ms": LONGEST_RECONNECT_MS,
};

type Reply<T> = (error: ServiceError | null, value: T) => void;

export class RankClient implements Disposable {
  private readonly client: RankAgentClient;

  private constructor(
    readonly address: string,
    transport: TransportSettings,
  ) {
    const credentials = clientCredentials(transport, address);
    this.client = new RankAgentClient(address, credentials, rankChannelOptions);
  }

  static create(address: string, transport: TransportSettings): RankClient {
    return new RankClient(address, transport);
  }

  /** Throws 1607. */
  async observe(request: ObserveRequest): Promise<Observation> {
    const reply = await this.call<ObserveReply>((options, done) => {
      this.client.observe(request, new Metadata(), options, done);
    });
    return readObservation(reply);
  }

  /** Throws 1607: the order may have been carried out, or may yet be. */
  async order(order: AgentOrder, fence: OrderFence): Promise<OrderResult> {
    const message = writeOrder(order, fence);
    const timeoutMs = CALL_TIMEOUT_MS + sendingMs(order);
    const reply = await this.call<RankOrderReply>((options, done) => {
      this.client.order(message, new Metadata(), options, done);
    }, timeoutMs);
    return readResult(reply);
  }

  /** Throws 1607. */
  async guard({ fence, ...hold }: WatchedHold): Promise<void> {
    await this.call<GuardReply>((options, done) => {
      this.client.guard({ ...fence, ...hold }, new Metadata(), options, done);
    });
  }

  [Symbol.dispose](): void {
    this.client.close();
  }

  private call<T>(
    send: (options: { deadline: number }, done: Reply<T>) => void,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<T> {
    const { address } = this;
    return new Promise((resolve, reject) => {
      send({ deadline: Date.now() + timeoutMs }, (error, value) => {
        if (error === null) resolve(value);
        else reject(failure(1607, { address, reason: error.message }, error));
      });
    });
  }
}

/**
 * Time that a map takes to leave for all ranks of its group, ms: each gets the
 * whole of it at once. With 72 ranks, 12 sets and 3 places it is 430 KB, 0.6 s
 * on a link of 5.6 Mbit/s; 50 of 72 ranks were out of time before.
 */
function sendingMs(order: AgentOrder): number {
  if (order.kind !== "prepare") return 0;
  const places = order.sets.reduce(
    (total, ranks) =>
      total + ranks.reduce((sum, { length }) => sum + length, 0),
    0,
  );
  const ranks = order.sets.at(0)?.length ?? 0;
  return (places * ranks * BYTES_EACH_PLACE) / SLOWEST_BYTES_EACH_MS;
}
