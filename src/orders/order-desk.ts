/**
 * The agent's side of orders to its engine.
 *
 * Harm prevented: a holder that was paused, or an order that was sent long ago,
 * changes the engine back after a newer order was confirmed. An engine that
 * checks fencing numbers refuses the old order itself. One that ignores them
 * would obey, so only this agent gives it orders: one at a time, compared with
 * the newest order in the log, and after every start and every lost answer only
 * once the longest time has passed in which an order already sent can still
 * take effect. The state is read back before an order counts as confirmed.
 */
import {
  failure,
  type ApricotdeckError,
  type Emit,
  type EngineOrderSettings,
  type EngineOrderState,
  type Order,
  type OrderAnswer,
  type OrderCall,
  type OrderEffect,
  type OrderKind,
} from "../internal.js";

/** Switched off only by the fuzzer. */
export interface OrderSafeguards {
  readonly waitsOut: boolean;
  readonly comparesFencing: boolean;
  readonly learnsFromLog: boolean;
}

export const allOrderSafeguards: OrderSafeguards = {
  waitsOut: true,
  comparesFencing: true,
  learnsFromLog: true,
};

interface Running {
  readonly order: Order;
  readonly takenAt: number;
  /** An answer was lost: only the state read after the wait counts. */
  lost: boolean;
  given: boolean;
  readAt: number;
}

/** Time between two looks at an engine that doesn't show the order yet. */
const READ_INTERVAL_MS = 200;
/** A caller of an agent that has yet to read the log asks again after this. */
const LOG_RETRY_MS = 1_000;

export class OrderDesk {
  /** Highest fencing number known for each kind. */
  private readonly highest = new Map<OrderKind, number>();
  private logRead = false;
  private running: Running | undefined;
  private outstanding: OrderCall | undefined;
  private blockedUntil: number;
  private effects: OrderEffect[] = [];

  private constructor(
    private readonly settings: EngineOrderSettings,
    private readonly emit: Emit,
    private readonly safeguards: OrderSafeguards,
    now: number,
  ) {
    // The agent before this one may have sent an order just before it ended.
    this.blockedUntil = this.waitFrom(now);
    if (this.blockedUntil > now) this.tellWait("start");
  }

  static create(
    settings: EngineOrderSettings,
    emit: Emit,
    now: number,
    safeguards: OrderSafeguards = allOrderSafeguards,
  ): OrderDesk {
    return new OrderDesk(settings, emit, safeguards, now);
  }

  /** No order is under way. */
  get idle(): boolean {
    return this.running === undefined;
  }

  /** The newest orders for this engine in the log, read to its end. */
  learn(newest: readonly Order[]): void {
    this.logRead = true;
    for (const order of newest) this.raise(order);
  }

  take(order: Order, now: number): readonly OrderEffect[] {
    const refusal = this.refusalOf(order, now);
    if (refusal !== undefined) {
      const { fencing } = order;
      const highest = this.highestOf(order);
      this.emit(171, { fencing, highest, error: refusal.number });
      this.reply({ kind: "failed", order, error: refusal });
      return this.proceed(now);
    }
    this.raise(order);
    this.running = {
      order,
      takenAt: now,
      lost: false,
      given: false,
      readAt: now,
    };
    return this.proceed(now);
  }

  answered(answer: OrderAnswer, now: number): readonly OrderEffect[] {
    const call = this.outstanding;
    this.outstanding = undefined;
    const { running } = this;
    if (running === undefined) return this.proceed(now);
    if (call?.kind === "give") {
      running.given = true;
      if (!answer.accepted) this.fail(failure(1701));
      return this.proceed(now);
    }
    this.readBack(running, answer.state, now);
    return this.proceed(now);
  }

  /** Whether the engine got the order isn't known. */
  failed(now: number): readonly OrderEffect[] {
    const call = this.outstanding;
    this.outstanding = undefined;
    const { running } = this;
    if (call?.kind === "give" && running !== undefined) {
      // An engine that checks can be told the same again at once.
      running.lost = !this.settings.checksFencing;
      running.given = running.lost;
      this.blockedUntil = this.waitFrom(now);
      if (running.lost) this.tellWait("lost answer");
    }
    if (running !== undefined) running.readAt = now + READ_INTERVAL_MS;
    return this.proceed(now);
  }

  tick(now: number): readonly OrderEffect[] {
    return this.proceed(now);
  }

  private refusalOf(order: Order, now: number): ApricotdeckError | undefined {
    const { fencing } = order;
    const { safeguards } = this;
    const highest = this.highestOf(order);
    if (safeguards.comparesFencing && fencing < highest) {
      return failure(1701, { fencing, highest });
    }
    // Only the log tells a new agent how new an order must be.
    const blind = safeguards.learnsFromLog && !this.logRead;
    if (blind && !this.settings.checksFencing) {
      return failure(1702, { retryAfterMs: LOG_RETRY_MS });
    }
    const retryAfterMs = Math.max(0, this.blockedUntil - now);
    if (retryAfterMs > 0) return failure(1702, { retryAfterMs });
    if (this.running === undefined) return undefined;
    return failure(1702, { retryAfterMs: READ_INTERVAL_MS });
  }

  private proceed(now: number): readonly OrderEffect[] {
    const { running } = this;
    if (running !== undefined && this.outstanding === undefined) {
      const call = this.nextCall(running, now);
      if (call !== undefined) {
        this.outstanding = call;
        this.effects.push({ kind: "engine", call });
      }
    }
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  private nextCall(running: Running, now: number): OrderCall | undefined {
    if (now < running.readAt) return undefined;
    const { order, lost, given } = running;
    if (!given) return { kind: "give", order };
    // Read before the wait is over, the state might yet be changed by the order
    // that nobody knows the fate of.
    if (lost && now < this.blockedUntil) return undefined;
    return { kind: "read" };
  }

  private readBack(
    running: Running,
    state: EngineOrderState,
    now: number,
  ): void {
    const { order, takenAt } = running;
    const { kind, value, fencing } = order;
    if (state.values[kind] === value) {
      this.running = undefined;
      const durationMs = now - takenAt;
      this.emit(170, { fencing, kind, value, durationMs });
      this.reply({ kind: "confirmed", order });
      return;
    }
    const over = running.lost || now >= takenAt + this.settings.effectMs;
    if (over) this.fail(failure(1703, { fencing }));
    else running.readAt = now + READ_INTERVAL_MS;
  }

  private fail(error: ApricotdeckError): void {
    const { running } = this;
    if (running === undefined) return;
    this.running = undefined;
    const { order } = running;
    const { fencing } = order;
    const highest = this.highestOf(order);
    this.emit(171, { fencing, highest, error: error.number });
    this.reply({ kind: "failed", order, error });
  }

  private highestOf({ kind }: Order): number {
    return this.highest.get(kind) ?? -1;
  }

  private raise(order: Order): void {
    const highest = Math.max(this.highestOf(order), order.fencing);
    this.highest.set(order.kind, highest);
  }

  private reply(reply: (OrderEffect & { kind: "reply" })["reply"]): void {
    this.effects.push({ kind: "reply", reply });
  }

  private waitFrom(now: number): number {
    const { checksFencing, effectMs } = this.settings;
    const waits = !checksFencing && this.safeguards.waitsOut;
    return waits ? now + effectMs : now;
  }

  private tellWait(reason: "start" | "lost answer"): void {
    const waitMs = this.settings.effectMs;
    this.emit(172, { waitMs, reason });
  }
}
