/** Improves a map for a known load by local search, ignoring transfer cost. */
import { alignSlots, layerStart } from "./expert-map.js";
import { LayerSearch } from "./layer-search.js";
import { layerSlots, layerValues } from "./layers.js";
import type { ExpertMap, RankState } from "./types.js";

/** Returns the map after up to `stepsPerLayer` search steps in each layer. */
export function refineMap(
  map: ExpertMap,
  tokens: Float64Array,
  ranks: RankState,
  stepsPerLayer: number,
): ExpertMap {
  const { shape } = map;
  const search = LayerSearch.create(shape);
  const slots = Int16Array.from(map.slots);
  const requestTokens = Float64Array.from(
    { length: shape.ranks },
    (_, rank) => ranks.requestTokens[rank] / shape.layers,
  );
  for (let layer = 0; layer < shape.layers; layer++) {
    const layerTokens = layerValues(tokens, layer, shape.experts);
    search.load(
      layerSlots(map, layer),
      layerTokens,
      requestTokens,
      ranks.speeds,
    );
    search.improve(stepsPerLayer);
    slots.set(Array.from(search.currentSlots), layerStart(shape, layer));
  }
  alignSlots(shape, map.slots, slots);
  return { version: map.version + 1, shape, slots };
}
