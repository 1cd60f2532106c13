/**
 * Models the time of a step. Ranks exchange tokens in every layer, so a layer
 * takes as long as its slowest rank, and a step takes the sum over its layers.
 * A rank's work in a layer is the tokens of its expert slots (engines choose a
 * replica by hash, so an expert's tokens split evenly over its replicas) plus
 * the layer's share of its requests; its time is work divided by speed.
 */
import { layerStart } from "./expert-map.js";
import { sum } from "./numbers.js";
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupShape,
  type RankState,
} from "./types.js";

export interface StepTime {
  /** Sum over layers of the slowest rank's time. */
  readonly slowest: number;
  /** Sum over layers of the time with work spread perfectly. */
  readonly ideal: number;
  /** Sum over layers of the mean rank time. */
  readonly mean: number;
  /** Slowest rank's time if ranks synchronize only at the end of the step. */
  readonly slowestWholeStep: number;
}

/** Times of every rank in every layer (layer * ranks + rank). */
export function rankTimes(
  map: ExpertMap,
  tokens: ArrayLike<number>,
  state: RankState,
): Float64Array {
  const { ranks, layers } = map.shape;
  const times = new Float64Array(layers * ranks);
  for (let layer = 0; layer < layers; layer++) {
    layerTimes(map, layer, tokens, state, times);
  }
  return times;
}

function layerTimes(
  map: ExpertMap,
  layer: number,
  tokens: ArrayLike<number>,
  state: RankState,
  times: Float64Array,
): void {
  const { ranks, layers, experts, slotsPerRank } = map.shape;
  const replicas = countReplicas(map, layer);
  let index = layerStart(map.shape, layer);
  for (let rank = 0; rank < ranks; rank++) {
    let work = state.requestTokens[rank] / layers;
    for (let position = 0; position < slotsPerRank; position++, index++) {
      const expert = map.slots[index];
      if (expert === EMPTY_SLOT) continue;
      work += tokens[layer * experts + expert] / replicas[expert];
    }
    times[layer * ranks + rank] = work / state.speeds[rank];
  }
}

/** Number of slots of each expert in one layer. */
export function countReplicas(map: ExpertMap, layer: number): Int16Array {
  const { ranks, experts, slotsPerRank } = map.shape;
  const replicas = new Int16Array(experts);
  const start = layerStart(map.shape, layer);
  for (let index = start; index < start + ranks * slotsPerRank; index++) {
    const expert = map.slots[index];
    if (expert !== EMPTY_SLOT) replicas[expert]++;
  }
  return replicas;
}

/** Summarises the times of `rankTimes`. */
export function stepTime(
  shape: GroupShape,
  times: Float64Array,
  speeds: ArrayLike<number>,
): StepTime {
  const { ranks, layers } = shape;
  const perRank = new Float64Array(ranks);
  let slowest = 0;
  let work = 0;
  let total = 0;
  for (let layer = 0; layer < layers; layer++) {
    let layerSlowest = 0;
    for (let rank = 0; rank < ranks; rank++) {
      const time = times[layer * ranks + rank];
      if (time > layerSlowest) layerSlowest = time;
      perRank[rank] += time;
      work += time * speeds[rank];
      total += time;
    }
    slowest += layerSlowest;
  }
  return {
    slowest,
    ideal: work / sum(speeds),
    mean: total / ranks,
    slowestWholeStep: Math.max(...perRank),
  };
}

/** Slowest over ideal time; max over mean if all ranks are equally fast. */
export function skewOf(time: StepTime): number {
  return time.ideal > 0 ? time.slowest / time.ideal : 1;
}
