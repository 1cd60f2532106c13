/**
 * Carries out orders to the engine of one agent.
 *
 * Prevents a paused holder's order, or one that was sent long ago, from
 * changing the engine back after a newer order was confirmed. An engine that
 * checks fencing tokens refuses the old order itself. For one that ignores
 * them, only this agent sends orders: one at a time, compared with the newest
 * order in the log, and, after each start and each lost response, only after
 * the maximum time in which an order that was already sent can still take
 * effect. An order counts as confirmed once the engine's state shows it.
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

/** Safeguards that only the fuzzer switches off. */
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

interface RunningOrder {
  readonly order: Order;
  readonly acceptedAt: number;
  /** A response was lost: only the state read after the wait counts. */
  isAnswerLost: boolean;
  isSent: boolean;
  nextCallAt: number;
}

/**
 * Interval between reads of the state of an engine that doesn't show the order
 * yet, ms.
 */
const READ_INTERVAL_MS = 200;
/** Retry delay for callers while the agent hasn't read the log, ms. */
const LOG_UNREAD_RETRY_MS = 1_000;

export class OrderExecutor {
  /** Highest fencing token known for each kind. */
  private readonly highestFencing = new Map<OrderKind, number>();
  private isLogRead = false;
  private runningOrder: RunningOrder | undefined;
  private pendingCall: OrderCall | undefined;
  private blockedUntil: number;
  private effects: OrderEffect[] = [];

  private constructor(
    private readonly settings: EngineOrderSettings,
    private readonly emit: Emit,
    private readonly safeguards: OrderSafeguards,
    now: number,
  ) {
    // A previous agent may have sent an order just before it ended.
    this.blockedUntil = this.waitEndsAt(now);
    if (this.blockedUntil > now) this.emitWait("start");
  }

  static create(
    settings: EngineOrderSettings,
    emit: Emit,
    now: number,
    safeguards: OrderSafeguards = allOrderSafeguards,
  ): OrderExecutor {
    return new OrderExecutor(settings, emit, safeguards, now);
  }

  /** Whether no order is in progress. */
  get isIdle(): boolean {
    return this.runningOrder === undefined;
  }

  /**
   * Called with the newest orders for this engine once the log was read to its
   * end.
   */
  onOrdersRead(newest: readonly Order[]): void {
    this.isLogRead = true;
    for (const order of newest) this.raiseHighestFencing(order);
  }

  submit(order: Order, now: number): readonly OrderEffect[] {
    const refusal = this.refusalOf(order, now);
    if (refusal !== undefined) {
      const { fencing } = order;
      const highest = this.highestFencingOf(order);
      this.emit(171, { fencing, highest, error: refusal.number });
      this.reply({ kind: "failed", order, error: refusal });
      return this.advance(now);
    }
    this.raiseHighestFencing(order);
    this.runningOrder = {
      order,
      acceptedAt: now,
      isAnswerLost: false,
      isSent: false,
      nextCallAt: now,
    };
    return this.advance(now);
  }

  onAnswer(answer: OrderAnswer, now: number): readonly OrderEffect[] {
    const call = this.pendingCall;
    this.pendingCall = undefined;
    const { runningOrder: running } = this;
    if (running === undefined) return this.advance(now);
    if (call?.kind === "give") {
      running.isSent = true;
      if (!answer.accepted) this.fail(failure(1701));
      return this.advance(now);
    }
    this.compareState(running, answer.state, now);
    return this.advance(now);
  }

  /** The call failed; whether the engine received the order is unknown. */
  onCallFailed(now: number): readonly OrderEffect[] {
    const call = this.pendingCall;
    this.pendingCall = undefined;
    const { runningOrder: running } = this;
    if (call?.kind === "give" && running !== undefined) {
      // An engine that checks fencing tokens can be sent the same order again
      // at once.
      running.isAnswerLost = !this.settings.checksFencing;
      running.isSent = running.isAnswerLost;
      this.blockedUntil = this.waitEndsAt(now);
      if (running.isAnswerLost) this.emitWait("lost answer");
    }
    if (running !== undefined) running.nextCallAt = now + READ_INTERVAL_MS;
    return this.advance(now);
  }

  tick(now: number): readonly OrderEffect[] {
    return this.advance(now);
  }

  private refusalOf(order: Order, now: number): ApricotdeckError | undefined {
    const { fencing } = order;
    const { safeguards } = this;
    const highest = this.highestFencingOf(order);
    if (safeguards.comparesFencing && fencing < highest) {
      return failure(1701, { fencing, highest });
    }
    // A new agent learns only from the log which orders are outdated.
    const isOutdatedUnknown = safeguards.learnsFromLog && !this.isLogRead;
    if (isOutdatedUnknown && !this.settings.checksFencing) {
      return failure(1702, { retryAfterMs: LOG_UNREAD_RETRY_MS });
    }
    const retryAfterMs = Math.max(0, this.blockedUntil - now);
    if (retryAfterMs > 0) return failure(1702, { retryAfterMs });
    if (this.runningOrder === undefined) return undefined;
    return failure(1702, { retryAfterMs: READ_INTERVAL_MS });
  }

  private advance(now: number): readonly OrderEffect[] {
    const { runningOrder: running } = this;
    if (running !== undefined && this.pendingCall === undefined) {
      const call = this.nextCall(running, now);
      if (call !== undefined) {
        this.pendingCall = call;
        this.effects.push({ kind: "engine", call });
      }
    }
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  private nextCall(running: RunningOrder, now: number): OrderCall | undefined {
    if (now < running.nextCallAt) return undefined;
    const { order, isAnswerLost, isSent } = running;
    if (!isSent) return { kind: "give", order };
    // Until the wait is over, the order with the lost response may still change
    // the state.
    if (isAnswerLost && now < this.blockedUntil) return undefined;
    return { kind: "read" };
  }

  private compareState(
    running: RunningOrder,
    state: EngineOrderState,
    now: number,
  ): void {
    const { order, acceptedAt } = running;
    const { kind, value, fencing } = order;
    if (state.values[kind] === value) {
      this.runningOrder = undefined;
      const durationMs = now - acceptedAt;
      this.emit(170, { fencing, kind, value, durationMs });
      this.reply({ kind: "confirmed", order });
      return;
    }
    const isExpired =
      running.isAnswerLost || now >= acceptedAt + this.settings.effectMs;
    if (isExpired) this.fail(failure(1703, { fencing }));
    else running.nextCallAt = now + READ_INTERVAL_MS;
  }

  private fail(error: ApricotdeckError): void {
    const { runningOrder: running } = this;
    if (running === undefined) return;
    this.runningOrder = undefined;
    const { order } = running;
    const { fencing } = order;
    const highest = this.highestFencingOf(order);
    this.emit(171, { fencing, highest, error: error.number });
    this.reply({ kind: "failed", order, error });
  }

  private highestFencingOf({ kind }: Order): number {
    return this.highestFencing.get(kind) ?? -1;
  }

  private raiseHighestFencing(order: Order): void {
    const highest = Math.max(this.highestFencingOf(order), order.fencing);
    this.highestFencing.set(order.kind, highest);
  }

  private reply(reply: (OrderEffect & { kind: "reply" })["reply"]): void {
    this.effects.push({ kind: "reply", reply });
  }

  private waitEndsAt(now: number): number {
    const { checksFencing, effectMs } = this.settings;
    const mustWait = !checksFencing && this.safeguards.waitsOut;
    return mustWait ? now + effectMs : now;
  }

  private emitWait(reason: "start" | "lost answer"): void {
    const waitMs = this.settings.effectMs;
    this.emit(172, { waitMs, reason });
  }
}
