/**
 * Resolves a held step by completing or cancelling its switch. This requires
 * neither fencing tokens nor a response from a rank whose VM is frozen, unless
 * that rank may be armed.
 * - The holder isn't armed: no rank is, and none will be once the holder has
 *   prepared a higher version. After that one order the step can be released,
 *   even if other ranks are unreachable.
 * - The holder is armed and all ranks are reachable: the remaining ranks are
 *   armed, or the switch is cancelled if some rank can't be armed any more.
 * - Only the rank that is armed last is unreachable, and some other rank isn't
 *   armed: the switch is cancelled at that other rank, which ensures that the
 *   last one isn't and won't be armed. Then the others are disarmed and
 *   cancelled, the holder last, and the step is released.
 *
 * Several processes may resolve a step at once, with outdated observations and
 * orders that are carried out late. That is safe because a cancelled rank stays
 * cancelled, and an armed rank stays armed until some rank is cancelled.
 */
import {
  isCancellationVersion,
  cancellationVersionAbove,
} from "./map-versions.js";
import {
  isArmedHolder,
  lastRankToArm,
  pendingSwitch,
  type AddressedOrder,
} from "./switch-orders.js";
import type { AgentOrder, MapSets, RankState } from "./types.js";

type Orders = readonly AddressedOrder<AgentOrder>[];

export interface HeldStepState {
  /** The reachable ranks, including the holder. */
  readonly reached: readonly RankState[];
  readonly holder: RankState;
  /**
   * Map that is prepared under a cancellation version and never activated.
   * Preferably the active map, since it needs no copies.
   */
  readonly placeholderMap: MapSets;
  /** Highest version that ranks are known to have been ordered to prepare. */
  readonly highestVersion: number;
}

/** The next orders; empty while there is nothing to do but wait. */
export function resolveHeldStep(inputs: HeldStepState): Orders {
  const { reached, holder } = inputs;
  if (!isArmedHolder(holder)) return releaseUnarmed(inputs);
  if (reached.length === holder.size) {
    const pending = pendingSwitch(reached);
    if (pending.kind === "orders") return pending.orders;
    return pending.kind === "call-off" ? cancelSwitch(inputs) : [];
  }
  const last = lastRankToArm(holder);
  const isOnlyLastUnreachable =
    reached.length === holder.size - 1 &&
    reached.every(({ rank }) => rank !== last);
  return isOnlyLastUnreachable ? cancelSwitch(inputs) : [];
}

/**
 * The rank may be armed for another step than the held one; that switch isn't
 * touched.
 */
function releaseUnarmed(inputs: HeldStepState): Orders {
  const { rank, heldStep: step, armed, preparedVersion } = inputs.holder;
  if (step === undefined) return [];
  const isCancelled =
    preparedVersion !== undefined && isCancellationVersion(preparedVersion);
  return armed !== undefined || isCancelled
    ? [{ rank, order: { kind: "release", step } }]
    : [cancelAt(inputs.holder, inputs)];
}

/**
 * A rank is disarmed only after another one is cancelled. From then on not all
 * ranks can be armed at once, so nobody releases the step to complete the
 * switch.
 */
function cancelSwitch(inputs: HeldStepState): Orders {
  const { reached, holder } = inputs;
  const version = holder.armed?.version ?? 0;
  // The step has begun, so nothing is left to cancel.
  if (reached.some(({ mapVersion }) => mapVersion === version)) return [];
  const others = reached.filter(({ rank }) => rank !== holder.rank);
  const armed = others.filter((state) => state.armed?.version === version);
  const uncancelled = others.filter(
    (state) => !armed.includes(state) && !isCancelledFor(state, version),
  );
  if (uncancelled.length > 0)
    return uncancelled.map((state) => cancelAt(state, inputs));
  if (armed.length === others.length) return [];
  const next = armed.length > 0 ? armed : [holder];
  return next.map(({ rank }) => ({ rank, order: { kind: "disarm", version } }));
}

/** Whether the rank can't be armed for the version any more. */
function isCancelledFor(
  { preparedVersion }: RankState,
  version: number,
): boolean {
  return preparedVersion !== undefined && preparedVersion > version;
}

function cancelAt(
  { rank, preparedVersion = 0, mapVersion }: RankState,
  { placeholderMap: sets, highestVersion }: HeldStepState,
): AddressedOrder<AgentOrder> {
  const highestSeen = Math.max(preparedVersion, mapVersion, highestVersion);
  return {
    rank,
    order: {
      kind: "prepare",
      version: cancellationVersionAbove(highestSeen),
      sets,
    },
  };
}
