/** gRPC client through which the planner reaches a rank's agent. */
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
 * An agent answers within a few milliseconds. A call that takes longer is
 * cancelled and retried, because a step may be held meanwhile.
 */
const CALL_TIMEOUT_MS = 250;

/**
 * Delay between connection attempts, ms. With the library's initial delay of
 * one second, a group that restarts as a whole would wait that long for its
 * last agent.
 */
const MINIMUM_RECONNECT_BACKOFF_MS = 100;
const MAXIMUM_RECONNECT_BACKOFF_MS = 1000;

const rankChannelOptions: ChannelOptions = {
  ...channelOptions,
  "grpc.initial_reconnect_backoff_ms": MINIMUM_RECONNECT_BACKOFF_MS,
  "grpc.min_reconnect_backoff_ms": MINIMUM_RECONNECT_BACKOFF_MS,
  "grpc.max_reconnect_backoff_ms": MAXIMUM_RECONNECT_BACKOFF_MS,
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

  /**
   * Throws 1607; the order may still have been carried out, or may be later.
   */
  async order(
    order: AgentOrder,
    fence: OrderFence,
    members: readonly string[],
  ): Promise<OrderResult> {
    const message = writeOrder(order, fence, members);
    const reply = await this.call<RankOrderReply>((options, done) => {
      this.client.order(message, new Metadata(), options, done);
    });
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
  ): Promise<T> {
    const { address } = this;
    return new Promise((resolve, reject) => {
      send({ deadline: Date.now() + CALL_TIMEOUT_MS }, (error, value) => {
        if (error === null) resolve(value);
        else reject(failure(1607, { address, reason: error.message }, error));
      });
    });
  }
}
