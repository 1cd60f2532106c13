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
import type { AgentResult, ChangeOrder } from "./map-sender.js";
import { transferTimeMs, WINDOW_BYTES } from "./send-window.js";
import type {
  AgentOrder,
  Observation,
  OrderFence,
  WatchedHold,
} from "./types.js";

/**
 * An agent answers within a few milliseconds. A call that takes longer is
 * cancelled and retried, because a step may be held meanwhile.
 */
const CALL_TIMEOUT_MS = 250;
/**
 * Added for orders with maps, ms: other ranks' orders are on the same link.
 */
const MAP_TIMEOUT_MS = transferTimeMs(WINDOW_BYTES);

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
  async observe(
    request: Pick<ObserveRequest, "withCounts" | "withExperts">,
  ): Promise<Observation> {
    const message = { ...request, readsPackedCounts: true };
    const reply = await this.call<ObserveReply>((options, done) => {
      this.client.observe(message, new Metadata(), options, done);
    });
    return readObservation(reply);
  }

  /**
   * Throws 1607; the order may still have been carried out, or may be later.
   */
  async order(
    order: AgentOrder | ChangeOrder,
    fence: OrderFence,
    members: readonly string[],
  ): Promise<AgentResult> {
    const message = writeOrder(order, fence, members);
    const hasMap = order.kind === "prepare" || order.kind === "change";
    const timeoutMs = CALL_TIMEOUT_MS + (hasMap ? MAP_TIMEOUT_MS : 0);
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
