/**
 * What has to be ordered next so that all ranks of a group change to a map at
 * one and the same step. Decided from what the ranks show alone, so whoever
 * plans next can finish a switch that another one began.
 *
 * A rank that was told to arm may carry that out seconds after its answer was
 * due. So a step is held before the first rank is armed for it, and released
 * only when all ranks show that they are armed, or when none can be any more.
 * A hold costs the group a pause at worst, two maps in one step a wrong answer.
 *
 * The rank that holds the step is armed first, and by nobody but the planner
 * that had it held; the rank before it is armed last, once all others are. So a
 * holder that isn't armed tells that nobody is, and a rank that can't be armed
 * any more tells that the last one isn't.
 */
import type { AgentOrder, RankOrder, RankState } from "./types.js";

export interface AddressedOrder<Order extends RankOrder = RankOrder> {
  readonly rank: number;
  readonly order: Order;
}

/** All ranks of one epoch; undefined while they don't show that. */
export function wholeGroup(
  states: readonly RankState[],
): readonly RankState[] | undefined {
  const first = states.at(0);
  if (first === undefined) return undefined;
  const { group, epoch, size } = first;
  const ranks = new Set<number>();
  for (const state of states) {
    if (state.group !== group || state.epoch !== epoch) return undefined;
    if (!state.isOpen) return undefined;
    ranks.add(state.rank);
  }
  return ranks.size === size ? states : undefined;
}

/** What a switch that is under way needs. */
export type PendingSwitch =
  | { readonly kind: "none" }
  /** All ranks are armed and let go: the step comes by itself. */
  | { readonly kind: "coming" }
  | {
      readonly kind: "orders";
      readonly orders: readonly AddressedOrder<AgentOrder>[];
    }
  /** Held by ranks that aren't armed for what they hold: nobody is. */
  | { readonly kind: "unarmed"; readonly holders: readonly RankState[] }
  /** Some rank can't be armed any more for what this holder is armed for. */
  | { readonly kind: "call-off"; readonly holder: RankState };

export function pendingSwitch(states: readonly RankState[]): PendingSwitch {
  const holders = states.filter(({ heldStep }) => heldStep !== undefined);
  const holder = holders.find(isArmedHolder);
  if (holder === undefined && holders.length > 0) {
    return { kind: "unarmed", holders };
  }
  const armed = holder ?? states.find((state) => state.armed !== undefined);
  if (armed?.armed === undefined) return { kind: "none" };
  const { version, step } = armed.armed;
  const unarmed = states.filter((state) => !isBound(state, version, step));
  if (unarmed.length === 0) {
    const orders = releases(states);
    return orders.length === 0
      ? { kind: "coming" }
      : { kind: "orders", orders };
  }
  const isArmable = unarmed.every(
    (state) => state.preparedVersion === version && state.armed === undefined,
  );
  if (!isArmable) {
    return holder === undefined
      ? { kind: "coming" }
      : { kind: "call-off", holder };
  }
  const order = { kind: "arm", version, step } as const;
  const wave = armingWave(unarmed, holder);
  return { kind: "orders", orders: wave.map(({ rank }) => ({ rank, order })) };
}

/** Whether the rank is armed for the very step that it holds. */
export function isArmedHolder({ armed, heldStep }: RankState): boolean {
  return heldStep !== undefined && armed?.step === heldStep;
}

/**
 * The rank that is armed once all others are. That of the planner that orders a
 * hold: it sees the others' confirmations first, and while its VM stands still
 * it can't be asked.
 */
export function lastArmed({ rank, size }: RankState): number {
  return (rank + size - 1) % size;
}

export function isInForce(
  states: readonly RankState[],
  version: number,
): boolean {
  return states.every(({ mapVersion }) => mapVersion === version);
}

/**
 * The group as it is once the orders are carried out; undefined where only
 * another look can tell: an arm may have been carried out between the last look
 * and a disarm, and a version is prepared once its copies are there.
 */
export function afterOrders(
  states: readonly RankState[],
  orders: readonly AddressedOrder[],
): readonly RankState[] | undefined {
  const isUnknown = orders.some(
    ({ order }) => order.kind === "prepare" || order.kind === "disarm",
  );
  if (isUnknown) return undefined;
  return states.map((state) =>
    orders
      .filter(({ rank }) => rank === state.rank)
      .reduce((before, { order }) => afterOrder(before, order), state),
  );
}

function afterOrder(state: RankState, order: RankOrder): RankState {
  switch (order.kind) {
    case "prepare":
    case "disarm":
      return state;
    case "arm": {
      const { version, step } = order;
      return { ...state, armed: { version, step } };
    }
    case "hold":
      return { ...state, heldStep: order.step };
    case "release":
      return { ...state, heldStep: undefined };
  }
}

/** The holder is armed already; the last rank waits for all others. */
function armingWave(
  unarmed: readonly RankState[],
  holder: RankState | undefined,
): readonly RankState[] {
  if (holder === undefined) return unarmed;
  const last = lastArmed(holder);
  const others = unarmed.filter(({ rank }) => rank !== last);
  return others.length > 0 ? others : unarmed;
}

/**
 * Armed for the step, or changed to the map already: ranks are looked at one
 * after the other, and the step may begin in between.
 */
function isBound(
  { armed, mapVersion }: RankState,
  version: number,
  step: number,
): boolean {
  if (mapVersion === version) return true;
  return armed?.version === version && armed.step === step;
}

function releases(
  states: readonly RankState[],
): readonly AddressedOrder<AgentOrder>[] {
  return states.flatMap(({ rank, heldStep: step }) =>
    step === undefined ? [] : [{ rank, order: { kind: "release", step } }],
  );
}
