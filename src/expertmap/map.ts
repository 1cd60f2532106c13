/** Questions about one expert map or two. */
import { createHash } from "node:crypto";
import { Left, Right, type Either } from "purify-ts";
import {
  failure,
  type ApricotdeckError,
  type ExpertMap,
  type GroupMember,
  type WeightName,
} from "../internal.js";

const HASH_LENGTH = 16;

const hashes = new WeakMap<ExpertMap, string>();

/** Content hash; remembered, as a large map takes milliseconds to hash. */
export function hashMap(map: ExpertMap): string {
  const known = hashes.get(map);
  if (known !== undefined) return known;
  const text = JSON.stringify([map.slotsPerRank, map.layers]);
  const digest = createHash("sha256").update(text).digest("hex");
  const hash = digest.slice(0, HASH_LENGTH);
  hashes.set(map, hash);
  return hash;
}

/** Every expert needs a slot, or its tokens could be served nowhere. */
export function checkMap(
  map: ExpertMap,
  ranks: number,
  experts: number,
): Either<ApricotdeckError, ExpertMap> {
  for (const [layer, slots] of map.layers.entries()) {
    if (slots.length !== ranks * map.slotsPerRank) {
      return Left(failure(1601, { layer, reason: "number of slots" }));
    }
    const held = new Set(slots);
    const known = [...held].every((expert) => expert >= 0 && expert < experts);
    if (!known || held.size !== experts) {
      return Left(failure(1601, { layer, reason: "experts" }));
    }
  }
  return Right(map);
}

/** Deals the experts out in turn: the map of a group that never had one. */
export function dealExperts(
  layers: number,
  ranks: number,
  slotsPerRank: number,
  experts: number,
): ExpertMap {
  const slots = Array.from(
    { length: ranks * slotsPerRank },
    (_, slot) => slot % experts,
  );
  return { slotsPerRank, layers: Array.from({ length: layers }, () => slots) };
}

/** Experts that the member's ranks hold under the map, without doubles. */
export function weightsOf(
  map: ExpertMap,
  ranks: readonly number[],
): readonly WeightName[] {
  return ranks.flatMap((rank) =>
    map.layers.flatMap((slots, layer) => {
      const first = rank * map.slotsPerRank;
      const held = new Set(slots.slice(first, first + map.slotsPerRank));
      return [...held].map((expert) => ({ rank, layer, expert }));
    }),
  );
}

export function weightKey(weight: WeightName): string {
  return `${weight.rank}/${weight.layer}/${weight.expert}`;
}

/** Weights of the next map that the ranks don't hold under the present one. */
export function missingWeights(
  present: ExpertMap | null,
  next: ExpertMap,
  ranks: readonly number[],
): readonly WeightName[] {
  const held = new Set(
    present === null ? [] : weightsOf(present, ranks).map(weightKey),
  );
  return weightsOf(next, ranks).filter((item) => !held.has(weightKey(item)));
}

export function ranksOf(
  members: readonly GroupMember[],
  member: string,
): readonly number[] {
  return members.find((item) => item.member === member)?.ranks ?? [];
}
