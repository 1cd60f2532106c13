/** Views of single layers. */
import { layerStart } from "./expert-map.js";
import type { ExpertMap } from "./types.js";

/** The part of values by layer and expert that belongs to a layer. */
export function layerValues(
  values: Float64Array,
  layer: number,
  experts: number,
): Float64Array {
  return values.subarray(layer * experts, (layer + 1) * experts);
}

/** A copy of a layer's slots. */
export function layerSlots(map: ExpertMap, layer: number): Int16Array {
  const perLayer = map.shape.ranks * map.shape.slotsPerRank;
  const start = layerStart(map.shape, layer);
  const slots = new Int16Array(perLayer);
  for (let slot = 0; slot < perLayer; slot++) {
    slots[slot] = map.slots[start + slot];
  }
  return slots;
}
