/**
 * Determines the next orders so that all ranks of a group switch to a map at
 * the same step. The decision depends only on the ranks' reported states, so
 * the next planner can complete a switch that another one started.
 *
 * A rank may carry out an arm order seconds after its response was due. So a
 * step is held before the first rank is armed for it, and released only when
 * all ranks report that they are armed, or when none can be any more. At worst
 * a hold pauses the group, while two maps in one step give wrong answers.
 *
 * The rank that holds the step is armed first, and only by the planner that
 * ordered the hold; the rank before it is armed last, once all others are. So
 * an unarmed holder implies that no rank is armed, and a rank that can't be
 * armed any more implies that the last one isn't.
 */
import type { AgentOrder, RankOrder, RankState } from "./types.js";

export interface AddressedOrder<Order extends RankOrder = RankOrder> {
  readonly rank: number;
  readonly order: Order;
}

/**
 * The states if they cover all ranks of one group and epoch; otherwise
 * undefined.
 */
export function completeGroup(
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

/** State of a switch in progress. */
export type PendingSwitch =
  | { readonly kind: "none" }
  /**
   * All ranks are armed and released; the step begins without further orders.
   */
  | { readonly kind: "coming" }
  | {
      readonly kind: "orders";
      readonly orders: readonly AddressedOrder<AgentOrder>[];
    }
  /** The holding ranks aren't armed for what they hold, so no rank is. */
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
  const unarmed = states.filter(
    (state) => !isArmedOrSwitched(state, version, step),
  );
  if (unarmed.length === 0) {
    const orders = releaseOrders(states, step);
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
  const wave = nextToArm(unarmed, holder);
  return { kind: "orders", orders: wave.map(({ rank }) => ({ rank, order })) };
}

/** Whether the rank is armed for the step that it holds. */
export function isArmedHolder({ armed, heldStep }: RankState): boolean {
  return heldStep !== undefined && armed?.step === heldStep;
}

/**
 * The rank that is armed after all others. It is the rank of the planner that
 * orders a hold: the planner sees the others' confirmations first, and its own
 * rank can't be reached while its VM is frozen.
 */
export function lastRankToArm({ rank, size }: RankState): number {
  return (rank + size - 1) % size;
}

export function isMapActive(
  states: readonly RankState[],
  version: number,
): boolean {
  return states.every(({ mapVersion }) => mapVersion === version);
}

/**
 * The states after the orders are carried out. Undefined where the group has to
 * be observed again: an arm may have been carried out between the last
 * observation and a disarm, and a version is prepared only once its copies are
 * complete.
 */
export function applyOrders(
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
      .reduce((before, { order }) => applyOrder(before, order), state),
  );
}

function applyOrder(state: RankState, order: RankOrder): RankState {
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
function nextToArm(
  unarmed: readonly RankState[],
  holder: RankState | undefined,
): readonly RankState[] {
  if (holder === undefined) return unarmed;
  const last = lastRankToArm(holder);
  const others = unarmed.filter(({ rank }) => rank !== last);
  return others.length > 0 ? others : unarmed;
}

/**
 * Whether the rank is armed for the step or has switched already. Ranks are
 * observed one after the other, and the step may begin in between.
 */
function isArmedOrSwitched(
  { armed, mapVersion }: RankState,
  version: number,
  step: number,
): boolean {
  if (mapVersion === version) return true;
  return armed?.version === version && armed.step === step;
}

/**
 * Releases the step wherever it is held. Another step that is held belongs to
 * another switch, for which some ranks may be armed while others aren't.
 */
function releaseOrders(
  states: readonly RankState[],
  step: number,
): readonly AddressedOrder<AgentOrder>[] {
  return states
    .filter(({ heldStep }) => heldStep === step)
    .map(({ rank }) => ({ rank, order: { kind: "release", step } }));
}
