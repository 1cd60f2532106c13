/** Helpers for expert maps: content hash, experts and weights of ranks. */
import { createHash } from "node:crypto";
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupMember,
  type ExpertWeightId,
} from "../internal.js";

const HASH_HEX_DIGITS = 16;

const hashCache = new WeakMap<ExpertMap, string>();

/**
 * Content hash of a map; cached because hashing a large map takes milliseconds.
 */
export function hashExpertMap(map: ExpertMap): string {
  const cached = hashCache.get(map);
  if (cached !== undefined) return cached;
  const { layers, ranks, experts, slotsPerRank } = map.shape;
  const shape = [layers, ranks, experts, slotsPerRank];
  const numbers = Int32Array.from([...shape, ...Array.from(map.slots)]);
  const digest = createHash("sha256").update(numbers).digest("hex");
  const hash = digest.slice(0, HASH_HEX_DIGITS);
  hashCache.set(map, hash);
  return hash;
}

/** Experts that a rank holds in one layer. */
export function expertsOf(
  { shape, slots }: ExpertMap,
  layer: number,
  rank: number,
): readonly number[] {
  const first = (layer * shape.ranks + rank) * shape.slotsPerRank;
  return Array.from({ length: shape.slotsPerRank }, (_, slot) => {
    return slots[first + slot] ?? EMPTY_SLOT;
  }).filter((expert) => expert !== EMPTY_SLOT);
}

/** Weights that the ranks need under the map, over all layers. */
export function weightsOf(
  map: ExpertMap,
  ranks: readonly number[],
): readonly ExpertWeightId[] {
  const layers = Array.from({ length: map.shape.layers }, (_, layer) => layer);
  return ranks.flatMap((rank) =>
    layers.flatMap((layer) =>
      expertsOf(map, layer, rank).map((expert) => ({ rank, layer, expert })),
    ),
  );
}

export function weightKey(weight: ExpertWeightId): string {
  return `${weight.rank}/${weight.layer}/${weight.expert}`;
}

export function ranksOf(
  members: readonly GroupMember[],
  member: string,
): readonly number[] {
  return members.find((item) => item.member === member)?.ranks ?? [];
}
