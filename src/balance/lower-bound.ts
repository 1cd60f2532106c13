/**
 * Lower bound on skew for any map, even one chosen in hindsight per window. Per
 * layer it is the greater of two times: that of work spread perfectly over the
 * rank speeds, and the hottest-expert bound, the least time T at which the
 * replicas that bring every expert's share under T fit the slots. It ignores
 * packing losses and transfer cost, so the optimum may be higher.
 */
import { sum } from "./numbers.js";
import type { GroupShape, RankState } from "./types.js";

const BISECTION_ROUNDS = 30;

export function skewLowerBound(
  shape: GroupShape,
  tokens: ArrayLike<number>,
  state: RankState,
): number {
  const { layers, experts } = shape;
  const requestWork = sum(state.requestTokens) / layers;
  const speedSum = sum(state.speeds);
  const capacity = replicaCapacity(state.speeds);
  const layerTokens = new Float64Array(experts);
  let bound = 0;
  let ideal = 0;
  for (let layer = 0; layer < layers; layer++) {
    for (let expert = 0; expert < experts; expert++) {
      layerTokens[expert] = tokens[layer * experts + expert];
    }
    const spread = (sum(layerTokens) + requestWork) / speedSum;
    ideal += spread;
    bound += Math.max(spread, hottestExpertBound(shape, layerTokens, capacity));
  }
  return ideal > 0 ? bound / ideal : 1;
}

/**
 * Maximum tokens per unit of time for an expert with n evenly used replicas: n
 * times the speed of the n-th fastest rank, made monotonic in n.
 */
function replicaCapacity(speeds: ArrayLike<number>): Float64Array {
  const sorted = Float64Array.from(speeds).sort().reverse();
  const capacity = sorted.map((speed, index) => speed * (index + 1));
  for (let index = 1; index < capacity.length; index++) {
    capacity[index] = Math.max(capacity[index], capacity[index - 1]);
  }
  return capacity;
}

function hottestExpertBound(
  shape: GroupShape,
  layerTokens: Float64Array,
  capacity: Float64Array,
): number {
  const slots = shape.ranks * shape.slotsPerRank;
  let high = Math.max(...layerTokens) / capacity[0];
  let low = 0;
  for (let round = 0; round < BISECTION_ROUNDS; round++) {
    const middle = (low + high) / 2;
    if (replicasNeeded(layerTokens, capacity, middle) <= slots) high = middle;
    else low = middle;
  }
  return low;
}

function replicasNeeded(
  layerTokens: Float64Array,
  capacity: Float64Array,
  time: number,
): number {
  let needed = 0;
  for (const tokens of layerTokens) {
    let replicas = 1;
    while (replicas <= capacity.length) {
      if (tokens <= capacity[replicas - 1] * time) break;
      replicas++;
    }
    if (replicas > capacity.length) return Infinity;
    needed += replicas;
  }
  return needed;
}
