/**
 * Watches over a step that this agent's rank holds for the planner. A planner
 * that freezes between hold and release would keep the whole group waiting
 * until another one has the seat, seconds later; callers give their streams up
 * by then. The holder finishes the switch in its place.
 *
 * That is safe without the seat: it only arms ranks for the step that is held
 * already, and releases it once all are armed, which is what any planner would
 * do. It never calls a switch off.
 */
import { pause } from "../daemon/background-task.js";
import { toFailure, type Emit } from "../internal.js";
import type { GroupRank } from "./group-planner.js";
import { pendingSwitch, wholeGroup } from "./switch-orders.js";
import type { OrderFence, RankPort } from "./types.js";

export interface HoldGuardOptions {
  readonly port: RankPort;
  readonly emit: Emit;
  /** All ranks of the group. Throws 1901 or 1607. */
  readonly group: () => Promise<readonly GroupRank[]>;
  readonly signal: AbortSignal;
}

/**
 * From hold to release a planner takes about 20 ms; an order that got no answer
 * adds some 100 ms. Later than this it is taken for frozen, ms.
 */
const PATIENCE_MS = 250;
/** Between two looks, ms. */
const LOOK_INTERVAL_MS = 50;
/** A group that can't be finished by then needs a planner, ms. */
const GIVE_UP_MS = 6000;

export class HoldGuard {
  private isWatching = false;

  private constructor(private readonly options: HoldGuardOptions) {}

  static create(options: HoldGuardOptions): HoldGuard {
    return new HoldGuard(options);
  }

  /** The own rank has just been told to hold the step, under this fence. */
  watch(step: number, fence: OrderFence): void {
    if (this.isWatching) return;
    this.isWatching = true;
    void this.run(step, fence);
  }

  private async run(step: number, fence: OrderFence): Promise<void> {
    const { signal, emit } = this.options;
    const startedAtMs = performance.now();
    const elapsedMs = (): number => performance.now() - startedAtMs;
    await pause(PATIENCE_MS, signal);
    let isTold = false;
    while (!signal.aborted && elapsedMs() < GIVE_UP_MS) {
      if (!(await this.isHeld(step))) break;
      if (!isTold) emit(164, { step, heldMs: Math.round(elapsedMs()) });
      isTold = true;
      await this.finish(fence);
      await pause(LOOK_INTERVAL_MS, signal);
    }
    this.isWatching = false;
  }

  private async isHeld(step: number): Promise<boolean> {
    try {
      const state = await this.options.port.observe();
      return state.heldStep === step;
    } catch (error) {
      this.note(error);
      return true;
    }
  }

  private async finish(fence: OrderFence): Promise<void> {
    try {
      const ranks = await this.options.group();
      const request = { withCounts: false, withExperts: false };
      const seen = await Promise.all(
        ranks.map((rank) => rank.observe(request)),
      );
      const states = wholeGroup(seen.map(({ state }) => state));
      if (states === undefined) return;
      const pending = pendingSwitch(states);
      if (pending.kind !== "orders") return;
      await Promise.all(
        pending.orders.map(({ rank, order }) => {
          const index = states.findIndex((state) => state.rank === rank);
          return ranks[index].order(order, fence);
        }),
      );
    } catch (error) {
      this.note(error);
    }
  }

  private note(error: unknown): void {
    const { message } = toFailure(error, 1607);
    this.options.emit(223, { reason: message });
  }
}
