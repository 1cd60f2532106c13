/**
 * Current demand for each expert of a group. Counts decay exponentially, so
 * that a shift in demand becomes visible within a second.
 */

import { sum } from "../balance/numbers.js";

/**
 * Time constant of the decay, ms; a shift in demand becomes visible after about
 * as long.
 */
const DECAY_TIME_MS = 600;

/**
 * Average number of selections per expert below which counts don't decay. With
 * little traffic, the experts of a few prompts would otherwise be mistaken for
 * the overall demand.
 */
const MINIMUM_SELECTIONS_PER_EXPERT = 1000;

export class ExpertDemand {
  readonly tokens: Float64Array;

  private constructor(size: number) {
    this.tokens = new Float64Array(size);
  }

  /** `size`: number of sets * experts per set. */
  static create(size: number): ExpertDemand {
    return new ExpertDemand(size);
  }

  get total(): number {
    return sum(this.tokens);
  }

  /** Whether there are enough counts to plan a map. */
  get hasEnoughCounts(): boolean {
    return this.total >= this.minimumTotal;
  }

  private get minimumTotal(): number {
    return this.tokens.length * MINIMUM_SELECTIONS_PER_EXPERT;
  }

  /** Adds the counts of all ranks from the last `elapsedMs`. */
  add(counted: readonly (readonly number[])[], elapsedMs: number): void {
    const retainedShare = this.retainedShare(counted, elapsedMs);
    for (let index = 0; index < this.tokens.length; index += 1) {
      this.tokens[index] *= retainedShare;
    }
    for (const counts of counted) {
      counts.forEach((count, index) => {
        if (index < this.tokens.length) this.tokens[index] += count;
      });
    }
  }

  private retainedShare(
    counted: readonly (readonly number[])[],
    elapsedMs: number,
  ): number {
    const decayedShare = Math.exp(-elapsedMs / DECAY_TIME_MS);
    const { total } = this;
    if (total === 0) return decayedShare;
    const added = sum(counted.map((counts) => sum(counts)));
    const needed = (this.minimumTotal - added) / total;
    return Math.max(decayedShare, Math.min(1, needed));
  }
}
