/**
 * Gathers the step reports of engines into one report of each rank for a
 * window. Steps under an older map are left out: in a window in which the map
 * was switched, only the steps after the switch count.
 */
import { EMPTY_SLOT, type ExpertMap, type RankReport } from "./types.js";

/** One step of one rank, as its engine tells it. */
export interface RankStep {
  readonly rank: number;
  readonly step: number;
  /** Version of the map that the step ran on. */
  readonly version: number;
  /** Time spent computing, without the wait for other ranks. */
  readonly durationMs: number;
  /** Tokens of each expert of each layer that the rank worked on. */
  readonly counts: readonly (readonly number[])[];
}

const MS_PER_SECOND = 1000;

interface RankTotal {
  readonly steps: Set<number>;
  readonly tokens: Float64Array;
  busyMs: number;
}

export class StepWindow {
  private readonly totals = new Map<number, RankTotal>();

  private constructor(private readonly map: ExpertMap) {}

  /** A window under the map in force at its end. */
  static create(map: ExpertMap): StepWindow {
    return new StepWindow(map);
  }

  /** Takes in a step; one that came twice, or ran on another map, is dropped. */
  add(step: RankStep): void {
    if (step.version !== this.map.version) return;
    const total = this.totalOf(step.rank);
    if (total.steps.has(step.step)) return;
    total.steps.add(step.step);
    total.busyMs += step.durationMs;
    this.addTokens(step, total.tokens);
  }

  /** The ranks' reports; a rank that reported no step has none. */
  close(window: number): readonly RankReport[] {
    return [...this.totals].map(([rank, { tokens, busyMs }]) => ({
      rank,
      window,
      mapVersion: this.map.version,
      tokens,
      busySeconds: busyMs / MS_PER_SECOND,
      requestTokens: 0,
    }));
  }

  private totalOf(rank: number): RankTotal {
    const known = this.totals.get(rank);
    if (known !== undefined) return known;
    const { layers, slotsPerRank } = this.map.shape;
    const tokens = new Float64Array(layers * slotsPerRank);
    const total = { steps: new Set<number>(), tokens, busyMs: 0 };
    this.totals.set(rank, total);
    return total;
  }

  private addTokens({ rank, counts }: RankStep, tokens: Float64Array): void {
    const { ranks, layers, slotsPerRank } = this.map.shape;
    for (let layer = 0; layer < layers; layer++) {
      const first = (layer * ranks + rank) * slotsPerRank;
      const layerCounts = counts.at(layer) ?? [];
      for (let position = 0; position < slotsPerRank; position++) {
        const expert = this.map.slots[first + position];
        if (expert === EMPTY_SLOT) continue;
        const count = layerCounts.at(expert) ?? 0;
        tokens[layer * slotsPerRank + position] += count;
      }
    }
  }
}
