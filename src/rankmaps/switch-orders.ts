/**
 * What has to be ordered next so that all ranks of a group change to a map at
 * one and the same step. Decided from what the ranks show alone, so whoever
 * plans next can finish a switch that another one began.
 *
 * A rank that was told to arm may carry that out seconds after its answer was
 * due. So a step is held before the first rank is armed for it, and released
 * only when all ranks show that they are armed. Where that can't be reached,
 * because another planner's order has replaced what a rank had prepared, the
 * switch is called off: every rank first accepts an order with a higher fencing
 * number, which makes all earlier orders void, and only then the step is
 * released. A hold costs the group a pause at worst, two maps in one step a
 * wrong answer.
 */
import type { AgentOrder, MapGoal, RankOrder, RankState } from "./types.js";

export interface AddressedOrder<Order extends RankOrder = RankOrder> {
  readonly rank: number;
  readonly order: Order;
}

/**
 * Steps between the last one begun and the one that is held. From the hold to
 * the release it takes about 70 ms (a second look, all other ranks, the own
 * one), and a step 30 ms at least. With three, groups waited 4 ms a switch.
 */
const STEPS_AHEAD = 4;

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
  /** It can't be finished any more. */
  | { readonly kind: "call-off" };

export function pendingSwitch(states: readonly RankState[]): PendingSwitch {
  const armed = states.find((state) => state.armed !== undefined)?.armed;
  const held = states.find(({ heldStep }) => heldStep !== undefined)?.heldStep;
  if (armed === undefined && held === undefined) return { kind: "none" };
  const version = armed?.version ?? commonPrepared(states);
  const step = armed?.step ?? held;
  if (version === undefined || step === undefined) return { kind: "call-off" };
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
  if (!isArmable) return { kind: "call-off" };
  const order = { kind: "arm", version, step } as const;
  return {
    kind: "orders",
    orders: unarmed.map(({ rank }) => ({ rank, order })),
  };
}

/**
 * The orders that call a switch off; none when it is called off. `voided` are
 * the ranks that have accepted an order with the present fencing number in
 * their present life: what was ordered before can't be carried out there any
 * more.
 */
export function callOffOrders(
  states: readonly RankState[],
  voided: ReadonlySet<number>,
  unusedVersion: number,
): readonly AddressedOrder[] {
  const left = states.filter(
    ({ rank, armed }) => armed !== undefined || !voided.has(rank),
  );
  if (left.length === 0) return releases(states);
  return left.map(({ rank, armed }) => ({
    rank,
    order: { kind: "disarm", version: armed?.version ?? unusedVersion },
  }));
}

/** The next orders towards a new map, when nothing is under way. */
export function goalOrders(
  states: readonly RankState[],
  { version, sets, holder }: MapGoal,
): readonly AddressedOrder[] {
  const prepare = { kind: "prepare", version, sets } as const;
  const missing = states.filter(
    ({ preparedVersion }) => preparedVersion !== version,
  );
  if (missing.length > 0) {
    return missing.map(({ rank }) => ({ rank, order: prepare }));
  }
  const begun = Math.max(...states.map(({ step }) => step));
  const order = { kind: "hold", step: begun + STEPS_AHEAD } as const;
  return [{ rank: holder, order }];
}

/** Ranks with a part of their own in a switch. */
export interface SwitchRanks {
  readonly planner: number;
  readonly holder: number;
}

/**
 * Which of the due arms go out now. The holder comes first: once it has taken
 * an order of this planner, a release that an earlier one has sent, and that is
 * carried out late, is refused there and can't let the step begin half armed.
 * The planner's own rank comes last, so that a switch can be given up while one
 * of the others is unarmed.
 */
export function armingWave<Order extends RankOrder>(
  orders: readonly AddressedOrder<Order>[],
  { planner, holder }: SwitchRanks,
): readonly AddressedOrder<Order>[] {
  const first = orders.filter(({ rank }) => rank === holder);
  if (first.length > 0) return first;
  const others = orders.filter(({ rank }) => rank !== planner);
  return others.length > 0 ? others : orders;
}

export function isInForce(
  states: readonly RankState[],
  version: number,
): boolean {
  return states.every(({ mapVersion }) => mapVersion === version);
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

/**
 * The group as it is once the orders are carried out; undefined where only
 * another look can tell. A disarm makes void what was ordered before, but an
 * arm may have been carried out between the last look and the disarm, for
 * another version. Taken for unarmed, its rank would begin the released step on
 * another map than the rest.
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

function releases(
  states: readonly RankState[],
): readonly AddressedOrder<AgentOrder>[] {
  return states.flatMap(({ rank, heldStep: step }) =>
    step === undefined ? [] : [{ rank, order: { kind: "release", step } }],
  );
}

function commonPrepared(states: readonly RankState[]): number | undefined {
  const version = states.at(0)?.preparedVersion;
  const isCommon = states.every((state) => state.preparedVersion === version);
  return isCommon ? version : undefined;
}
