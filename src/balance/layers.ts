/** Access to the load values and the slots of a single layer. */
import { layerStart } from "./expert-map.js";
import type { ExpertMap } from "./types.js";

/** Returns a view of one layer's values (layer * experts + expert). */
export function layerValues(
  values: Float64Array,
  layer: number,
  experts: number,
): Float64Array {
  return values.subarray(layer * experts, (layer + 1) * experts);
}

/** Returns a copy of a layer's slots. */
export function layerSlots(map: ExpertMap, layer: number): Int16Array {
  const slotsPerLayer = map.shape.ranks * map.shape.slotsPerRank;
  const start = layerStart(map.shape, layer);
  const slots = new Int16Array(slotsPerLayer);
  for (let slot = 0; slot < slotsPerLayer; slot++) {
    slots[slot] = map.slots[start + slot];
  }
  return slots;
}
