/**
 * Reads the group's orders from the log and makes the agent's engine execute
 * the newest order of each kind.
 */
import * as z from "zod";
import {
  acceptedOrder,
  applyLeaseRecord,
  failure,
  noLease,
  OrderExecutor,
  toFailure,
  type EngineOrderSettings,
  type Lease,
  type Order,
  type OrderCall,
  type OrderEffect,
  type OrderKind,
  type OrderReply,
} from "../../internal.js";
import type { LogClient } from "../../platform/log-client.js";
import { pause } from "../background-task.js";
import type { EngineClient } from "../expert-map/engine-client.js";
import type { ProcessContext } from "../process-context.js";

export interface OrderTaskOptions {
  readonly context: ProcessContext;
  readonly log: LogClient;
  readonly engine: EngineClient;
  readonly runner: string;
  readonly group: string;
  readonly settings: EngineOrderSettings;
}

/** Long-poll timeout; the log responds earlier as soon as it has a record. */
const LONG_POLL_TIMEOUT_MS = 2_000;
const TICK_INTERVAL_MS = 50;
/** Delay before an order that the engine didn't confirm in time is retried. */
const RETRY_INTERVAL_MS = 5_000;
/** Lower bound of the call timeout; after a timeout the outcome is unknown. */
const MINIMUM_TIMEOUT_MS = 1_000;

const orderKind = z.enum(["load-model", "load-adapter", "version", "role"]);

const recordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.enum(["acquire", "renew", "release"]),
    holder: z.string(),
    after: z.number(),
    sentAt: z.number(),
  }),
  z.object({
    kind: z.literal("order"),
    holder: z.string(),
    after: z.number(),
    order: z.object({
      runner: z.string(),
      kind: orderKind,
      value: z.string(),
    }),
  }),
]);

/** Name of the log stream that holds the group's lease and orders. */
export function orderStream(group: string): string {
  return `orders-${group}`;
}

export class OrderTask {
  private readonly executor: OrderExecutor;
  private readonly newestOrders = new Map<OrderKind, Order>();
  private readonly settledFencingTokens = new Map<OrderKind, number>();
  private lease: Lease = noLease;
  private readOffset = 0;
  private nextAttemptAtMs = 0;

  private constructor(private readonly options: OrderTaskOptions) {
    const { settings, context } = options;
    this.executor = OrderExecutor.create(settings, context.emit, Date.now());
  }

  static create(options: OrderTaskOptions): OrderTask {
    return new OrderTask(options);
  }

  /** The newest accepted order of each kind for this engine. */
  get status(): readonly Order[] {
    return [...this.newestOrders.values()];
  }

  /**
   * Reads the log; throws 1901 in an outage, after which the caller restarts
   * it.
   */
  async followLog(signal: AbortSignal): Promise<void> {
    let isAtEnd = false;
    while (!signal.aborted) {
      isAtEnd = await this.readPage(isAtEnd ? LONG_POLL_TIMEOUT_MS : 0, signal);
    }
  }

  /** Executes orders until the signal aborts. */
  async executeOrders(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = Date.now();
      this.perform(this.executor.tick(now));
      const order = this.nextOrder();
      if (
        order !== undefined &&
        this.executor.isIdle &&
        now >= this.nextAttemptAtMs
      ) {
        this.perform(this.executor.submit(order, now));
      }
      await pause(TICK_INTERVAL_MS, signal);
    }
  }

  /** Returns true once the log was read to its end. */
  private async readPage(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { log, group } = this.options;
    const from = this.readOffset;
    try {
      const options = { from, waitMs, signal };
      const page = await log.read(orderStream(group), options);
      for (const { offset, data } of page.records)
        this.applyRecord(offset, data);
      if (this.readOffset < page.nextOffset) return false;
      this.executor.onOrdersRead([...this.newestOrders.values()]);
      return true;
    } catch (thrown) {
      const error = toFailure(thrown, 1901);
      if (signal.aborted) return false;
      const { startOffset } = error.detail;
      if (typeof startOffset !== "number") throw error;
      this.readOffset = startOffset;
      return false;
    }
  }

  private applyRecord(offset: number, data: Buffer): void {
    this.readOffset = offset + 1;
    const result = recordSchema.safeParse(parseJson(data));
    if (!result.success) return;
    const record = result.data;
    if (record.kind !== "order") {
      this.lease = applyLeaseRecord(this.lease, record, offset);
      return;
    }
    const order = acceptedOrder(this.lease, record, offset);
    if (order?.runner === this.options.runner) {
      this.newestOrders.set(order.kind, order);
    }
  }

  /** Oldest first: an engine that checks fencing tokens refuses older ones. */
  private nextOrder(): Order | undefined {
    return [...this.newestOrders.values()]
      .filter(
        ({ kind, fencing }) => this.settledFencingTokens.get(kind) !== fencing,
      )
      .sort((a, b) => a.fencing - b.fencing)
      .at(0);
  }

  private perform(effects: readonly OrderEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "engine") void this.callEngine(effect.call);
      else this.handleReply(effect.reply);
    }
  }

  private handleReply(reply: OrderReply): void {
    const { kind, fencing } = reply.order;
    const { measurements } = this.options.context;
    const end = reply.kind === "failed" ? reply.error.entry.name : reply.kind;
    measurements.count("orders", { end });
    const isFenced =
      reply.kind === "failed" && reply.error.number === failure(1701).number;
    if (reply.kind === "confirmed" || isFenced)
      this.settledFencingTokens.set(kind, fencing);
    else this.nextAttemptAtMs = Date.now() + this.retryDelayMs(reply);
  }

  private retryDelayMs(reply: OrderReply): number {
    if (reply.kind === "confirmed") return 0;
    const { retryAfterMs } = reply.error.detail;
    return typeof retryAfterMs === "number" ? retryAfterMs : RETRY_INTERVAL_MS;
  }

  private async callEngine(call: OrderCall): Promise<void> {
    const { engine, settings } = this.options;
    const timeoutMs = Math.max(MINIMUM_TIMEOUT_MS, settings.effectMs);
    try {
      const answer = await engine.order(call, timeoutMs);
      this.perform(this.executor.onAnswer(answer, Date.now()));
    } catch {
      this.perform(this.executor.onCallFailed(Date.now()));
    }
  }
}

function parseJson(data: Buffer): unknown {
  try {
    return JSON.parse(data.toString());
  } catch {
    return undefined;
  }
}
