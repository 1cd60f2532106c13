/**
 * Gives a held step up when the planner's VM stands still right after the hold.
 * Its rank can't be reached then, neither to arm it nor to see whether it is
 * armed, and the whole group would wait at the step until the VM wakes.
 *
 * Whoever arms ranks comes to the planner's own only once all others are armed.
 * So first every other rank accepts a higher fencing number, which makes all
 * earlier orders void there. If one of them is unarmed after that, the planner's
 * own rank isn't armed either, and never will be: what the planner sends when it
 * wakes is refused. Then the armed ones are disarmed, and the step is let go.
 */
import type { AddressedOrder } from "./switch-orders.js";
import type { AgentOrder, RankState } from "./types.js";

export interface BackOut {
  /** All ranks that can be reached. */
  readonly reached: readonly RankState[];
  /** Rank of the planner that had the step held. */
  readonly planner: number;
  readonly step: number;
  /** Ranks whose present life has accepted the higher fencing number. */
  readonly voided: ReadonlySet<number>;
  /** A version that no rank has prepared. */
  readonly unusedVersion: number;
}

/** The next orders; none when the step can't be given up. */
export function backOutOrders(
  inputs: BackOut,
): readonly AddressedOrder<AgentOrder>[] {
  const { reached, planner, step, voided, unusedVersion } = inputs;
  if (!isAllButPlanner(reached, planner)) return [];
  const binding = reached.filter(({ rank }) => !voided.has(rank));
  if (binding.length > 0) {
    const order = { kind: "disarm", version: unusedVersion } as const;
    return binding.map(({ rank }) => ({ rank, order }));
  }
  const armed = reached.filter((state) => state.armed !== undefined);
  if (armed.length === reached.length) return [];
  if (armed.length === 0) return releasesOf(reached, step);
  return armed.flatMap(({ rank, armed: map }) =>
    map === undefined
      ? []
      : [{ rank, order: { kind: "disarm", version: map.version } }],
  );
}

/** Of one group and epoch, and only the planner's rank is missing. */
function isAllButPlanner(
  reached: readonly RankState[],
  planner: number,
): boolean {
  const first = reached.at(0);
  if (first === undefined) return false;
  const ranks = new Set(reached.map(({ rank }) => rank));
  if (ranks.has(planner) || ranks.size !== first.size - 1) return false;
  return reached.every(
    ({ group, epoch, mapVersion }) =>
      group === first.group &&
      epoch === first.epoch &&
      mapVersion === first.mapVersion,
  );
}

function releasesOf(
  reached: readonly RankState[],
  step: number,
): readonly AddressedOrder<AgentOrder>[] {
  return reached
    .filter(({ heldStep }) => heldStep === step)
    .map(({ rank }) => ({ rank, order: { kind: "release", step } }));
}
