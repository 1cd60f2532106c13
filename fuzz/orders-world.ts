/**
 * Two holders, the agent, its engine and the log in virtual time. The engine
 * either checks fencing numbers or obeys whatever reaches it.
 */
import {
  acceptedOrder,
  applyLeaseRecord,
  createRandom,
  failure,
  ignoreEvents,
  LeaseHolder,
  noLease,
  OrderDesk,
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

export const TICK_MS = 10;
const EFFECT_TICKS = 30;
const CALL_TIMEOUT_TICKS = 5;
/** A slow reader of the log is this far behind. */
const READER_LAG_MS = 400;
const LEASE_MS = 600;
const LOG_READ_TICKS = 5;

export interface OrdersWorldSettings {
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

interface Timed {
  readonly at: number;
  readonly fencing: number;
}

type LogRecord = LeaseRecord | OrderRecord;

export class OrdersWorld {
  now = 0;
  logDownUntil = 0;
  slowUntil = 0;
  /** Holder that reads the log late while things are slow. */
  slowReader = 0;
  /** The next order reaches the engine as late as it can, unanswered. */
  trap: "none" | "lost" | "restartAgent" = "none";
  readonly violations: string[] = [];
  confirmations = 0;
  private readonly random: Random;
  private readonly records: LogRecord[] = [];
  private readonly landedAt: number[] = [];
  private readonly holders: readonly Holder[];
  private readonly due = new Map<number, (() => void)[]>();
  private readonly values: Partial<Record<OrderKind, string>> = {};
  private engineFencing = -1;
  private confirmed: Timed = { at: 0, fencing: -1 };
  private desk: OrderDesk;
  private deskNumber = 0;
  private agentView: Lease = noLease;
  private agentPosition = 0;
  private newestOrders: readonly Order[] = [];

  private constructor(private readonly settings: OrdersWorldSettings) {
    this.random = createRandom(settings.seed);
    const { countsFromSending } = settings;
    this.holders = ["first", "second"].map((name) => ({
      name,
      lease: LeaseHolder.create(name, LEASE_MS, 0, { countsFromSending }),
      view: noLease,
      position: 0,
      pausedUntil: 0,
    }));
    this.desk = this.createDesk();
  }

  static create(settings: OrdersWorldSettings): OrdersWorld {
    return new OrdersWorld(settings);
  }

  run(ticks: number): void {
    for (let index = 0; index < ticks; index += 1) this.tick();
  }

  /** Whoever holds the lease orders something; its send may come very late. */
  order(value: string, delayTicks: number): void {
    const holder = this.holders.find((item) => this.acts(item));
    if (holder === undefined) return;
    const { name, view } = holder;
    const record: OrderRecord = {
      kind: "order",
      holder: name,
      after: view.number,
      order: { kind: "load-model", value, runner: "r" },
    };
    this.append(record, (offset) => {
      // The holder may be paused for long between the log and this.
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
    this.desk = this.createDesk();
    this.agentView = noLease;
    this.agentPosition = 0;
  }

  endFaults(): void {
    this.trap = "none";
    this.logDownUntil = 0;
    this.slowUntil = 0;
    for (const holder of this.holders) holder.pausedUntil = 0;
  }

  private acts(holder: Holder): boolean {
    return holder.pausedUntil <= this.now && holder.lease.holds(this.now);
  }

  private createDesk(): OrderDesk {
    const { checksFencing, safeguards } = this.settings;
    const effectMs = EFFECT_TICKS * TICK_MS;
    this.deskNumber += 1;
    const engine = { checksFencing, effectMs };
    return OrderDesk.create(engine, ignoreEvents, this.now, safeguards);
  }

  private tick(): void {
    this.now += TICK_MS;
    const tasks = this.due.get(this.now) ?? [];
    this.due.delete(this.now);
    for (const task of tasks) task();
    for (const holder of this.holders) this.follow(holder);
    if (this.holders.every((item) => this.acts(item))) {
      this.violations.push(`both hold the lease at ${this.now}`);
    }
    if ((this.now / TICK_MS) % LOG_READ_TICKS === 0) this.agentReadsLog();
    this.carryOut(this.desk.tick(this.now));
  }

  private after(ticks: number, task: () => void): void {
    const at = this.now + Math.max(1, ticks) * TICK_MS;
    this.due.set(at, [...(this.due.get(at) ?? []), task]);
  }

  private append(record: LogRecord, landed?: (offset: number) => void): void {
    const faulty = this.logDownUntil > this.now || this.slowUntil > this.now;
    if (faulty && this.random() < 0.5) return;
    const delay = this.slowUntil > this.now ? randomBelow(this.random, 40) : 1;
    this.after(delay, () => {
      this.records.push(record);
      this.landedAt.push(this.now);
      landed?.(this.records.length - 1);
    });
  }

  private follow(holder: Holder): void {
    if (holder.pausedUntil > this.now) return;
    const slow = this.slowUntil > this.now;
    const lags = slow && holder === this.holders.at(this.slowReader);
    const seen = this.now - (lags ? READER_LAG_MS : 0);
    if (this.logDownUntil <= this.now) {
      for (; holder.position < this.records.length; holder.position += 1) {
        if (this.landedAt[holder.position] > seen) break;
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
    this.desk.learn(this.newestOrders);
  }

  /** Gives the order of a record to the agent, or to the engine if it checks. */
  private give(offset: number): void {
    const record = this.records.at(offset);
    if (record?.kind !== "order") return;
    if (!this.isAccepted(offset, record)) return;
    const order: Order = { ...record.order, fencing: offset };
    // Where engines check, a holder may also order without the agent.
    const direct = this.settings.checksFencing && this.random() < 0.5;
    if (direct) {
      this.after(randomBelow(this.random, EFFECT_TICKS), () => {
        this.take(order);
      });
    }
    this.carryOut(this.desk.take(order, this.now));
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
        // Holders ask again, also those that have lost their lease since.
        this.after(4, () => {
          this.carryOut(this.desk.take(order, this.now));
        });
      }
    }
  }

  private callEngine(call: OrderCall): void {
    const desk = this.deskNumber;
    const trapped = call.kind === "give" && this.trap !== "none";
    if (trapped) this.springTrap();
    const slow = this.slowUntil > this.now;
    const late = slow ? randomBelow(this.random, EFFECT_TICKS) : 1;
    const delay = trapped ? EFFECT_TICKS - 1 : late;
    const lost = trapped || (slow && this.random() < 0.3);
    let settled = false;
    const settle = (give: () => readonly OrderEffect[]): void => {
      if (settled || desk !== this.deskNumber) return;
      settled = true;
      this.carryOut(give());
    };
    this.after(delay, () => {
      const accepted = call.kind === "read" || this.take(call.order);
      const state = { engine: "e", values: { ...this.values } };
      if (lost) return;
      settle(() => this.desk.answered({ accepted, state }, this.now));
    });
    this.after(CALL_TIMEOUT_TICKS, () => {
      settle(() => this.desk.failed(this.now));
    });
  }

  private springTrap(): void {
    const { trap } = this;
    this.trap = "none";
    if (trap === "restartAgent")
      this.after(1, () => {
        this.restartAgent();
      });
  }

  /** The order takes effect in the engine, unless the engine refuses it. */
  private take({ fencing, kind, value }: Order): boolean {
    const { checksFencing, engineChecks } = this.settings;
    if (checksFencing && engineChecks && fencing < this.engineFencing) {
      return false;
    }
    this.engineFencing = Math.max(this.engineFencing, fencing);
    this.values[kind] = value;
    if (fencing < this.confirmed.fencing) {
      const { fencing: newer, at } = this.confirmed;
      this.violations.push(`${fencing} took effect, ${newer} confirmed ${at}`);
    }
    return true;
  }
}
