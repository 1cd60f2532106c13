/** Creates, validates and compares expert maps. */
import { Left, Right, type Either } from "purify-ts/Either";
import { failure, type ApricotdeckError } from "../internal.js";
import {
  EMPTY_SLOT,
  type ExpertMap,
  type ExpertMove,
  type GroupShape,
} from "./types.js";

export function slotCount(shape: GroupShape): number {
  return shape.layers * shape.ranks * shape.slotsPerRank;
}

/** Position of the first slot of a layer. */
export function layerStart(shape: GroupShape, layer: number): number {
  return layer * shape.ranks * shape.slotsPerRank;
}

/**
 * Creates a map without knowledge of the load: experts are assigned round-robin
 * over the ranks, and spare slots start over with the first experts.
 */
export function createEvenMap(shape: GroupShape): ExpertMap {
  const { ranks, slotsPerRank } = shape;
  const slotsPerLayer = ranks * slotsPerRank;
  const slots = new Int16Array(slotCount(shape)).fill(EMPTY_SLOT);
  for (let start = 0; start < slots.length; start += slotsPerLayer) {
    assignRoundRobin(shape, slots.subarray(start, start + slotsPerLayer));
  }
  return { version: 0, shape, slots };
}

function assignRoundRobin(shape: GroupShape, slots: Int16Array): void {
  const { ranks, experts, slotsPerRank } = shape;
  for (let index = 0; index < slots.length; index++) {
    const start = (index % ranks) * slotsPerRank;
    const held = slots.subarray(start, start + slotsPerRank);
    let expert = index % experts;
    while (held.includes(expert)) expert = (expert + 1) % experts;
    held[Math.floor(index / ranks)] = expert;
  }
}

/** Checks that all experts fit and that no rank needs an expert twice. */
export function checkShape(
  shape: GroupShape,
): Either<ApricotdeckError, GroupShape> {
  const { ranks, experts, slotsPerRank } = shape;
  if (ranks * slotsPerRank < experts) {
    return invalidMap(-1, "fewer slots than experts");
  }
  if (slotsPerRank > experts) {
    return invalidMap(-1, "more slots on a rank than experts");
  }
  return Right(shape);
}

/**
 * Checks that every expert of every layer has a slot and that no rank holds an
 * expert twice. Failure 1803 names the layer, or -1 if none is at fault.
 */
export function checkMap(map: ExpertMap): Either<ApricotdeckError, ExpertMap> {
  const { shape, slots } = map;
  if (slots.length !== slotCount(shape)) {
    return invalidMap(-1, "wrong number of slots");
  }
  for (let layer = 0; layer < shape.layers; layer++) {
    const problem = checkLayer(map, layer);
    if (problem !== undefined) return invalidMap(layer, problem);
  }
  return Right(map);
}

function invalidMap(
  layer: number,
  problem: string,
): Either<ApricotdeckError, never> {
  return Left(failure(1803, { layer, problem }));
}

function checkLayer(map: ExpertMap, layer: number): string | undefined {
  const { ranks, experts, slotsPerRank } = map.shape;
  const start = layerStart(map.shape, layer);
  const lastRank = new Int32Array(experts).fill(-1);
  for (let index = 0; index < ranks * slotsPerRank; index++) {
    const expert = map.slots[start + index];
    if (expert === EMPTY_SLOT) continue;
    if (!(expert >= 0 && expert < experts))
      return `expert ${expert} doesn't exist`;
    const rank = Math.floor(index / slotsPerRank);
    if (lastRank[expert] === rank) return `expert ${expert} twice on one rank`;
    lastRank[expert] = rank;
  }
  const absent = lastRank.indexOf(-1);
  return absent < 0 ? undefined : `expert ${absent} has no slot`;
}

/**
 * Rearranges each rank's slots of the target so that an expert the rank
 * already holds stays in its slot and needs no fetch.
 */
export function alignSlots(
  shape: GroupShape,
  from: ArrayLike<number>,
  target: Int16Array,
): void {
  const { slotsPerRank } = shape;
  for (let start = 0; start < target.length; start += slotsPerRank) {
    alignRank(from, target, start, start + slotsPerRank);
  }
}

function alignRank(
  from: ArrayLike<number>,
  target: Int16Array,
  start: number,
  end: number,
): void {
  for (let slot = start; slot < end; slot++) {
    const held = from[slot];
    if (held === EMPTY_SLOT || target[slot] === held) continue;
    const found = target.subarray(start, end).indexOf(held);
    if (found < 0) continue;
    target[start + found] = target[slot];
    target[slot] = held;
  }
}

/** Fetches needed to get from one map to another of the same shape. */
export function movesBetween(
  from: ExpertMap,
  to: ExpertMap,
): readonly ExpertMove[] {
  const { ranks, slotsPerRank } = from.shape;
  const moves: ExpertMove[] = [];
  for (let index = 0; index < from.slots.length; index++) {
    const expert = to.slots[index];
    const previous = from.slots[index];
    if (expert === previous || expert === EMPTY_SLOT) continue;
    const row = Math.floor(index / slotsPerRank);
    moves.push({
      layer: Math.floor(row / ranks),
      rank: row % ranks,
      slot: index % slotsPerRank,
      expert,
      previous,
    });
  }
  return moves;
}

/** Returns the map with the moves applied, under the next version. */
export function applyMoves(
  map: ExpertMap,
  moves: readonly ExpertMove[],
): ExpertMap {
  const { ranks, slotsPerRank } = map.shape;
  const slots = Int16Array.from(map.slots);
  for (const { layer, rank, slot, expert } of moves) {
    slots[(layer * ranks + rank) * slotsPerRank + slot] = expert;
  }
  return { version: map.version + 1, shape: map.shape, slots };
}
