/**
 * The agent beside a rank: answers the planner of the group from its own
 * runner, whose counters are fresh and cost nothing there.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import { toFailure } from "../internal.js";
import type {
  ObserveReply,
  ObserveRequest,
  RankAgentServer,
  RankOrderReply,
  RankOrderRequest,
} from "../wire/generated/rankmaps.js";
import {
  readOrder,
  writeObservation,
  type Observation,
} from "./rank-messages.js";
import type { OrderFence, OrderResult, RankCounts, RankPort } from "./types.js";

export interface RankAgentOptions {
  readonly port: RankPort;
  /** The own rank has taken an order to hold a step. */
  readonly onHold: (step: number, fence: OrderFence) => void;
}

const REFUSED: RankOrderReply = {
  isAccepted: false,
  isFenced: false,
  status: 0,
  isDone: false,
};

export class RankAgent {
  private known: RankCounts = { epoch: -1, counts: [] };
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
          writeObservation(await this.observe(call.request)),
        );
      },
      order: (
        call: ServerUnaryCall<RankOrderRequest, RankOrderReply>,
        reply: sendUnaryData<RankOrderReply>,
      ) => {
        void answer(reply, () => this.order(call.request));
      },
    };
  }

  async observe(request: ObserveRequest): Promise<Observation> {
    const { port } = this.options;
    const { withCounts, withExperts } = request;
    const [state, counted, experts] = await Promise.all([
      port.observe(),
      withCounts ? port.counts() : undefined,
      withExperts ? port.experts() : [],
    ]);
    const counts = counted === undefined ? [] : this.since(counted);
    const countedMs = counted === undefined ? 0 : this.elapsedMs();
    return { state, counts, countedMs, experts };
  }

  private async order(request: RankOrderRequest): Promise<RankOrderReply> {
    const order = readOrder(request);
    if (order === undefined) return REFUSED;
    const { epoch, fencing } = request;
    const fence = { epoch, fencing };
    const result = await this.options.port.order(order, fence);
    if (order.kind === "hold" && result.kind === "accepted") {
      this.options.onHold(order.step, fence);
    }
    return replyOf(result);
  }

  /** A restarted rank counts from zero again. */
  private since(counted: RankCounts): readonly number[] {
    const before = this.known;
    this.known = counted;
    if (before.epoch !== counted.epoch) return counted.counts;
    return counted.counts.map((count, index) => {
      const earlier = before.counts.at(index) ?? 0;
      return count >= earlier ? count - earlier : count;
    });
  }

  private elapsedMs(): number {
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.countedAtMs;
    this.countedAtMs = nowMs;
    return elapsedMs;
  }
}

function replyOf(result: OrderResult): RankOrderReply {
  return {
    isAccepted: result.kind === "accepted",
    isFenced: result.kind === "fenced",
    status: result.kind === "refused" ? result.status : 0,
    isDone: result.kind === "accepted" && result.isDone,
  };
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
