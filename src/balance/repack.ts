/**
 * Full repack, the published baseline for expert-parallel balancing (EPLB,
 * DeepSeek 2025): adds replicas greedily to the expert with the highest load
 * per replica, then places replicas, heaviest first, on the least loaded rank.
 */
import { alignSlots, slotCount } from "./expert-map.js";
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupShape,
  type RankState,
} from "./types.js";

/** Computes a new map for the load; the old one only serves to save fetches. */
export function repack(
  map: ExpertMap,
  tokens: ArrayLike<number>,
  state: RankState,
): ExpertMap {
  const { shape } = map;
  const slots = new Int16Array(slotCount(shape)).fill(EMPTY_SLOT);
  const slotsPerLayer = shape.ranks * shape.slotsPerRank;
  const layerTokens = new Float64Array(shape.experts);
  for (let layer = 0; layer < shape.layers; layer++) {
    for (let expert = 0; expert < shape.experts; expert++) {
      layerTokens[expert] = tokens[layer * shape.experts + expert];
    }
    const layerSlots = slots.subarray(
      layer * slotsPerLayer,
      (layer + 1) * slotsPerLayer,
    );
    packLayer(shape, layerTokens, state, layerSlots);
  }
  alignSlots(shape, map.slots, slots);
  return { version: map.version + 1, shape, slots };
}

/** Number of replicas per expert when every slot of the layer is used. */
export function chooseReplicas(
  shape: GroupShape,
  layerTokens: Float64Array,
): Int16Array {
  const { ranks, experts, slotsPerRank } = shape;
  const replicas = new Int16Array(experts).fill(1);
  for (let spare = ranks * slotsPerRank - experts; spare > 0; spare--) {
    const hottest = hottestExpert(layerTokens, replicas, ranks);
    if (hottest < 0) break;
    replicas[hottest]++;
  }
  return replicas;
}

function hottestExpert(
  layerTokens: Float64Array,
  replicas: Int16Array,
  maximumReplicas: number,
): number {
  let best = -1;
  let bestShare = -1;
  for (let expert = 0; expert < replicas.length; expert++) {
    if (replicas[expert] >= maximumReplicas) continue;
    const share = layerTokens[expert] / replicas[expert];
    if (share <= bestShare) continue;
    best = expert;
    bestShare = share;
  }
  return best;
}

function packLayer(
  shape: GroupShape,
  layerTokens: Float64Array,
  state: RankState,
  slots: Int16Array,
): void {
  const { ranks, layers, slotsPerRank } = shape;
  const replicas = chooseReplicas(shape, layerTokens);
  const used = new Int16Array(ranks);
  const work = Float64Array.from(
    { length: ranks },
    (_, rank) => state.requestTokens[rank] / layers,
  );
  for (const expert of heaviestFirst(layerTokens, replicas)) {
    const share = layerTokens[expert] / replicas[expert];
    const rank = leastLoadedRank(
      shape,
      slots,
      used,
      work,
      state,
      expert,
      share,
    );
    // Every rank with a free slot already holds the expert: skip the replica.
    if (rank < 0) continue;
    slots[rank * slotsPerRank + used[rank]] = expert;
    used[rank]++;
    work[rank] += share;
  }
}

function heaviestFirst(
  layerTokens: Float64Array,
  replicas: Int16Array,
): readonly number[] {
  const order = Array.from(replicas.keys()).sort(
    (a, b) => layerTokens[b] / replicas[b] - layerTokens[a] / replicas[a],
  );
  return order.flatMap((expert) =>
    Array.from({ length: replicas[expert] }, () => expert),
  );
}

function leastLoadedRank(
  shape: GroupShape,
  slots: Int16Array,
  used: Int16Array,
  work: Float64Array,
  state: RankState,
  expert: number,
  share: number,
): number {
  let best = -1;
  let bestTime = Infinity;
  for (let rank = 0; rank < shape.ranks; rank++) {
    if (used[rank] >= shape.slotsPerRank) continue;
    const time = (work[rank] + share) / state.speeds[rank];
    if (time >= bestTime) continue;
    const start = rank * shape.slotsPerRank;
    const held = slots.subarray(start, start + used[rank]);
    if (held.includes(expert)) continue;
    best = rank;
    bestTime = time;
  }
  return best;
}
