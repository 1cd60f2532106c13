/**
 * Simulates two lease holders, an agent, its engine and the log in virtual
 * time. The engine either checks fencing tokens or accepts every order.
 */
import {
  acceptedOrder,
  applyLeaseRecord,
  createRandom,
  failure,
  ignoreEvents,
  LeaseHolder,
  noLease,
  OrderExecutor,
  randomBelow,
  type Lease,
  type LeaseRecord,
  type Order,
  type OrderCall,
  type OrderEffect,
  type OrderKind,
  type OrderRecord,
  type OrderSafeguards,
  type Random,
} from "../src/internal.js";

export const TICK_INTERVAL_MS = 10;
const EFFECT_TICKS = 30;
const CALL_TIMEOUT_TICKS = 5;
/** Lag of a slow reader of the log, ms. */
const READER_LAG_MS = 400;
const LEASE_MS = 600;
const LOG_READ_INTERVAL_TICKS = 5;

export interface OrdersSimulationSettings {
  readonly seed: number;
  readonly checksFencing: boolean;
  readonly engineChecks: boolean;
  readonly countsFromSending: boolean;
  readonly safeguards: OrderSafeguards;
}

interface Holder {
  readonly name: string;
  readonly lease: LeaseHolder;
  view: Lease;
  position: number;
  pausedUntil: number;
}

interface Confirmation {
  readonly at: number;
  readonly fencing: number;
}

type LogRecord = LeaseRecord | OrderRecord;

export class OrdersSimulation {
  now = 0;
  logDownUntil = 0;
  slowUntil = 0;
  /**
   * Index of the holder that lags behind in the log while `slowUntil` applies.
   */
  laggingReader = 0;
  /**
   * Fault of the next order: it reaches the engine as late as possible and its
   * response is lost; with `restartAgent`, the agent restarts as well.
   */
  callFault: "none" | "lost" | "restartAgent" = "none";
  readonly violations: string[] = [];
  confirmations = 0;
  private readonly random: Random;
  private readonly records: LogRecord[] = [];
  private readonly appendedAtMs: number[] = [];
  private readonly holders: readonly Holder[];
  private readonly tasksByTime = new Map<number, (() => void)[]>();
  private readonly values: Partial<Record<OrderKind, string>> = {};
  private engineFencing = -1;
  private confirmed: Confirmation = { at: 0, fencing: -1 };
  private executor: OrderExecutor;
  private executorGeneration = 0;
  private agentView: Lease = noLease;
  private agentPosition = 0;
  private newestOrders: readonly Order[] = [];

  private constructor(private readonly settings: OrdersSimulationSettings) {
    this.random = createRandom(settings.seed);
    const { countsFromSending } = settings;
    this.holders = ["first", "second"].map((name) => ({
      name,
      lease: LeaseHolder.create(name, LEASE_MS, 0, { countsFromSending }),
      view: noLease,
      position: 0,
      pausedUntil: 0,
    }));
    this.executor = this.createExecutor();
  }

  static create(settings: OrdersSimulationSettings): OrdersSimulation {
    return new OrdersSimulation(settings);
  }

  run(ticks: number): void {
    for (let index = 0; index < ticks; index += 1) this.tick();
  }

  /**
   * Appends an order as the current lease holder; it is sent to the agent after
   * the delay.
   */
  order(value: string, delayTicks: number): void {
    const holder = this.holders.find((item) => this.mayAct(item));
    if (holder === undefined) return;
    const { name, view } = holder;
    const record: OrderRecord = {
      kind: "order",
      holder: name,
      after: view.acquiredOffset,
      order: { kind: "load-model", value, runner: "r" },
    };
    this.append(record, (offset) => {
      // The holder may be paused between the append and sending the order.
      this.after(delayTicks, () => {
        this.give(offset);
      });
    });
  }

  pause(index: number, until: number): void {
    const holder = this.holders.at(index);
    if (holder !== undefined) holder.pausedUntil = until;
  }

  restartAgent(): void {
    this.executor = this.createExecutor();
    this.agentView = noLease;
    this.agentPosition = 0;
  }

  endFaults(): void {
    this.callFault = "none";
    this.logDownUntil = 0;
    this.slowUntil = 0;
    for (const holder of this.holders) holder.pausedUntil = 0;
  }

  private mayAct(holder: Holder): boolean {
    return holder.pausedUntil <= this.now && holder.lease.holds(this.now);
  }

  private createExecutor(): OrderExecutor {
    const { checksFencing, safeguards } = this.settings;
    const effectMs = EFFECT_TICKS * TICK_INTERVAL_MS;
    this.executorGeneration += 1;
    const engine = { checksFencing, effectMs };
    return OrderExecutor.create(engine, ignoreEvents, this.now, safeguards);
  }

  private tick(): void {
    this.now += TICK_INTERVAL_MS;
    const tasks = this.tasksByTime.get(this.now) ?? [];
    this.tasksByTime.delete(this.now);
    for (const task of tasks) task();
    for (const holder of this.holders) this.follow(holder);
    if (this.holders.every((item) => this.mayAct(item))) {
      this.violations.push(`two holders act at ${this.now}`);
    }
    if ((this.now / TICK_INTERVAL_MS) % LOG_READ_INTERVAL_TICKS === 0)
      this.agentReadsLog();
    this.carryOut(this.executor.tick(this.now));
  }

  private after(ticks: number, task: () => void): void {
    const at = this.now + Math.max(1, ticks) * TICK_INTERVAL_MS;
    this.tasksByTime.set(at, [...(this.tasksByTime.get(at) ?? []), task]);
  }

  private append(
    record: LogRecord,
    onAppended?: (offset: number) => void,
  ): void {
    const isFaulty = this.logDownUntil > this.now || this.slowUntil > this.now;
    if (isFaulty && this.random() < 0.5) return;
    const delay = this.slowUntil > this.now ? randomBelow(this.random, 40) : 1;
    this.after(delay, () => {
      this.records.push(record);
      this.appendedAtMs.push(this.now);
      onAppended?.(this.records.length - 1);
    });
  }

  private follow(holder: Holder): void {
    if (holder.pausedUntil > this.now) return;
    const slow = this.slowUntil > this.now;
    const isLagging = slow && holder === this.holders.at(this.laggingReader);
    const seen = this.now - (isLagging ? READER_LAG_MS : 0);
    if (this.logDownUntil <= this.now) {
      for (; holder.position < this.records.length; holder.position += 1) {
        if (this.appendedAtMs[holder.position] > seen) break;
        const record = this.records[holder.position];
        if (record.kind === "order") continue;
        holder.lease.observe(record, holder.position, this.now);
        holder.view = holder.lease.current;
      }
    }
    const step = holder.lease.next(this.now);
    if (step !== "none") this.append(holder.lease.record(step, this.now));
  }

  private agentReadsLog(): void {
    if (this.logDownUntil > this.now) return;
    for (; this.agentPosition < this.records.length; this.agentPosition += 1) {
      const record = this.records[this.agentPosition];
      const offset = this.agentPosition;
      if (record.kind !== "order") {
        this.agentView = applyLeaseRecord(this.agentView, record, offset);
      } else {
        const order = acceptedOrder(this.agentView, record, offset);
        if (order !== undefined) this.newestOrders = [order];
      }
    }
    this.executor.onOrdersRead(this.newestOrders);
  }

  /**
   * Sends the order of a record to the agent, or sometimes directly to an
   * engine that checks fencing tokens.
   */
  private give(offset: number): void {
    const record = this.records.at(offset);
    if (record?.kind !== "order") return;
    if (!this.isAccepted(offset, record)) return;
    const order: Order = { ...record.order, fencing: offset };
    // If engines check fencing tokens, a holder may send orders without the
    // agent.
    const isDirect = this.settings.checksFencing && this.random() < 0.5;
    if (isDirect) {
      this.after(randomBelow(this.random, EFFECT_TICKS), () => {
        this.applyOrder(order);
      });
    }
    this.carryOut(this.executor.submit(order, this.now));
  }

  private isAccepted(offset: number, record: OrderRecord): boolean {
    const lease = this.records
      .slice(0, offset)
      .reduce<Lease>(
        (view, item, index) =>
          item.kind === "order" ? view : applyLeaseRecord(view, item, index),
        noLease,
      );
    return acceptedOrder(lease, record, offset) !== undefined;
  }

  private carryOut(effects: readonly OrderEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "engine") this.callEngine(effect.call);
      else if (effect.reply.kind === "confirmed") {
        const { fencing } = effect.reply.order;
        this.confirmations += 1;
        if (fencing > this.confirmed.fencing) {
          this.confirmed = { at: this.now, fencing };
        }
      } else if (effect.reply.error.number === failure(1702).number) {
        const { order } = effect.reply;
        // Holders retry, even if they have lost their lease.
        this.after(4, () => {
          this.carryOut(this.executor.submit(order, this.now));
        });
      }
    }
  }

  private callEngine(call: OrderCall): void {
    const generation = this.executorGeneration;
    const hasFault = call.kind === "give" && this.callFault !== "none";
    if (hasFault) this.applyCallFault();
    const slow = this.slowUntil > this.now;
    const late = slow ? randomBelow(this.random, EFFECT_TICKS) : 1;
    const delay = hasFault ? EFFECT_TICKS - 1 : late;
    const lost = hasFault || (slow && this.random() < 0.3);
    let settled = false;
    const settle = (takeEffects: () => readonly OrderEffect[]): void => {
      if (settled || generation !== this.executorGeneration) return;
      settled = true;
      this.carryOut(takeEffects());
    };
    this.after(delay, () => {
      const accepted = call.kind === "read" || this.applyOrder(call.order);
      const state = { engine: "e", values: { ...this.values } };
      if (lost) return;
      settle(() => this.executor.onAnswer({ accepted, state }, this.now));
    });
    this.after(CALL_TIMEOUT_TICKS, () => {
      settle(() => this.executor.onCallFailed(this.now));
    });
  }

  private applyCallFault(): void {
    const { callFault: fault } = this;
    this.callFault = "none";
    if (fault === "restartAgent")
      this.after(1, () => {
        this.restartAgent();
      });
  }

  /**
   * Applies the order unless the engine refuses it; returns whether it was
   * applied.
   */
  private applyOrder({ fencing, kind, value }: Order): boolean {
    const { checksFencing, engineChecks } = this.settings;
    if (checksFencing && engineChecks && fencing < this.engineFencing) {
      return false;
    }
    this.engineFencing = Math.max(this.engineFencing, fencing);
    this.values[kind] = value;
    if (fencing < this.confirmed.fencing) {
      const { fencing: newer, at } = this.confirmed;
      this.violations.push(
        `order ${fencing} took effect after order ${newer} was confirmed at ${at}`,
      );
    }
    return true;
  }
}
