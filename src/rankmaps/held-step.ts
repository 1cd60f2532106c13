/**
 * Ends a held step: finishes its switch or gives it up. Needs no fencing
 * numbers, and no rank whose VM stands still unless that rank may be armed.
 *
 * - The holder isn't armed: nobody is, and nobody will be once the holder has
 *   prepared a higher version. One order there, and the step can be let go
 *   whoever else is out of reach.
 * - The holder is armed and all ranks are reached: what is missing is armed, or
 *   the switch is called off if some rank can't be armed any more.
 * - Only the rank that is armed last is out of reach, and another one isn't
 *   armed: that one is made void, by which the last rank isn't and won't be
 *   armed. Then the others are disarmed and made void, the holder at the end,
 *   and the step is let go.
 *
 * Whoever ends a step may do so beside others, with old looks and with orders
 * that are carried out late: a rank that is void stays void, and a rank that is
 * armed stays armed until some rank is void.
 */
import { isVoid, voidAbove } from "./map-versions.js";
import {
  isArmedHolder,
  lastArmed,
  pendingSwitch,
  type AddressedOrder,
} from "./switch-orders.js";
import type { AgentOrder, MapSets, RankState } from "./types.js";

type Orders = readonly AddressedOrder<AgentOrder>[];

export interface HeldStep {
  /** The ranks that can be reached, the holder among them. */
  readonly reached: readonly RankState[];
  readonly holder: RankState;
  /**
   * A map to prepare where a version is made void; nobody changes to it. The
   * map in use, since it needs no copies.
   */
  readonly spareMap: MapSets;
  /** Of the versions that ranks were told to prepare, as far as known. */
  readonly highestVersion: number;
}

/** The next orders; none while only waiting helps. */
export function endHeldStep(inputs: HeldStep): Orders {
  const { reached, holder } = inputs;
  if (!isArmedHolder(holder)) return giveUpUnarmed(inputs);
  if (reached.length === holder.size) {
    const pending = pendingSwitch(reached);
    if (pending.kind === "orders") return pending.orders;
    return pending.kind === "call-off" ? callOff(inputs) : [];
  }
  const last = lastArmed(holder);
  const isOnlyLastAway =
    reached.length === holder.size - 1 &&
    reached.every(({ rank }) => rank !== last);
  return isOnlyLastAway ? callOff(inputs) : [];
}

/** Another step than the held one may be armed: that one isn't touched. */
function giveUpUnarmed(inputs: HeldStep): Orders {
  const { rank, heldStep: step, armed, preparedVersion } = inputs.holder;
  if (step === undefined) return [];
  const isDead = preparedVersion !== undefined && isVoid(preparedVersion);
  return armed !== undefined || isDead
    ? [{ rank, order: { kind: "release", step } }]
    : [makeVoid(inputs.holder, inputs)];
}

/**
 * A rank is disarmed only once another one is void: all armed at once is then
 * out of the question, and nobody lets the step go for that.
 */
function callOff(inputs: HeldStep): Orders {
  const { reached, holder } = inputs;
  const version = holder.armed?.version ?? 0;
  // The step has begun: there is nothing to call off.
  if (reached.some(({ mapVersion }) => mapVersion === version)) return [];
  const others = reached.filter(({ rank }) => rank !== holder.rank);
  const armed = others.filter((state) => state.armed?.version === version);
  const open = others.filter(
    (state) => !armed.includes(state) && !isVoidFor(state, version),
  );
  if (open.length > 0) return open.map((state) => makeVoid(state, inputs));
  if (armed.length === others.length) return [];
  const next = armed.length > 0 ? armed : [holder];
  return next.map(({ rank }) => ({ rank, order: { kind: "disarm", version } }));
}

/** Whether the rank can't be armed for the version any more. */
function isVoidFor({ preparedVersion }: RankState, version: number): boolean {
  return preparedVersion !== undefined && preparedVersion > version;
}

function makeVoid(
  { rank, preparedVersion = 0, mapVersion }: RankState,
  { spareMap: sets, highestVersion }: HeldStep,
): AddressedOrder<AgentOrder> {
  const had = Math.max(preparedVersion, mapVersion, highestVersion);
  return { rank, order: { kind: "prepare", version: voidAbove(had), sets } };
}
