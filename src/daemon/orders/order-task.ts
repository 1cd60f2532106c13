/**
 * Follows the orders of the group on the log and has the engine beside this
 * agent carry out the newest of each kind.
 */
import { z } from "zod";
import {
  acceptedOrder,
  applyLeaseRecord,
  failure,
  noLease,
  OrderDesk,
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

/** The log answers as soon as there is a record, and after this at the latest. */
const LONG_POLL_MS = 2_000;
const TICK_MS = 50;
/** An order that the engine doesn't show in time is given again after this. */
const REPEAT_MS = 5_000;
/** An engine that answers more slowly than this gets its orders in doubt. */
const SHORTEST_TIMEOUT_MS = 1_000;

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

/** Stream of the group's lease and orders. */
export function orderStream(group: string): string {
  return `orders-${group}`;
}

export class OrderTask {
  private readonly desk: OrderDesk;
  private readonly newest = new Map<OrderKind, Order>();
  private readonly settled = new Map<OrderKind, number>();
  private lease: Lease = noLease;
  private position = 0;
  private giveAt = 0;

  private constructor(private readonly options: OrderTaskOptions) {
    const { settings, context } = options;
    this.desk = OrderDesk.create(settings, context.emit, Date.now());
  }

  static create(options: OrderTaskOptions): OrderTask {
    return new OrderTask(options);
  }

  /** The newest order of each kind that this engine was given. */
  get status(): readonly Order[] {
    return [...this.newest.values()];
  }

  /** Follows the log; throws 1901 in an outage, and is then run again. */
  async follow(signal: AbortSignal): Promise<void> {
    let isAtEnd = false;
    while (!signal.aborted) {
      isAtEnd = await this.readPage(isAtEnd ? LONG_POLL_MS : 0, signal);
    }
  }

  /** Gives orders, until the signal aborts. */
  async give(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = Date.now();
      this.carryOut(this.desk.tick(now));
      const order = this.nextOrder();
      if (order !== undefined && this.desk.idle && now >= this.giveAt) {
        this.carryOut(this.desk.take(order, now));
      }
      await pause(TICK_MS, signal);
    }
  }

  /** Returns whether the log was read to its end. */
  private async readPage(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { log, group } = this.options;
    const from = this.position;
    try {
      const options = { from, waitMs, signal };
      const page = await log.read(orderStream(group), options);
      for (const { offset, data } of page.records) this.apply(offset, data);
      if (this.position < page.nextOffset) return false;
      this.desk.learn([...this.newest.values()]);
      return true;
    } catch (thrown) {
      const error = toFailure(thrown, 1901);
      if (signal.aborted) return false;
      const { startOffset } = error.detail;
      if (typeof startOffset !== "number") throw error;
      this.position = startOffset;
      return false;
    }
  }

  private apply(offset: number, data: Buffer): void {
    this.position = offset + 1;
    const result = recordSchema.safeParse(parseJson(data));
    if (!result.success) return;
    const record = result.data;
    if (record.kind !== "order") {
      this.lease = applyLeaseRecord(this.lease, record, offset);
      return;
    }
    const order = acceptedOrder(this.lease, record, offset);
    if (order?.runner === this.options.runner) {
      this.newest.set(order.kind, order);
    }
  }

  /** Oldest first, as an engine that checks refuses to go back. */
  private nextOrder(): Order | undefined {
    return [...this.newest.values()]
      .filter(({ kind, fencing }) => this.settled.get(kind) !== fencing)
      .sort((a, b) => a.fencing - b.fencing)
      .at(0);
  }

  private carryOut(effects: readonly OrderEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "engine") void this.callEngine(effect.call);
      else this.take(effect.reply);
    }
  }

  private take(reply: OrderReply): void {
    const { kind, fencing } = reply.order;
    const { measurements } = this.options.context;
    const end = reply.kind === "failed" ? reply.error.entry.name : reply.kind;
    measurements.count("orders", { end });
    const fenced =
      reply.kind === "failed" && reply.error.number === failure(1701).number;
    if (reply.kind === "confirmed" || fenced) this.settled.set(kind, fencing);
    else this.giveAt = Date.now() + this.retryAfter(reply);
  }

  private retryAfter(reply: OrderReply): number {
    if (reply.kind === "confirmed") return 0;
    const { retryAfterMs } = reply.error.detail;
    return typeof retryAfterMs === "number" ? retryAfterMs : REPEAT_MS;
  }

  private async callEngine(call: OrderCall): Promise<void> {
    const { engine, settings } = this.options;
    const timeoutMs = Math.max(SHORTEST_TIMEOUT_MS, settings.effectMs);
    try {
      const answer = await engine.order(call, timeoutMs);
      this.carryOut(this.desk.answered(answer, Date.now()));
    } catch {
      this.carryOut(this.desk.failed(Date.now()));
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
