/**
 * How much each expert of a group is in demand now: counts that fade with
 * time, so that a turn of demand shows within a second.
 */

import { sum } from "../balance/numbers.js";

/** Time after which a count has faded to 1/e, ms; a turn shows after as long. */
const FADE_MS = 600;

/**
 * Choices of each expert, on average, below which counts don't fade. Where
 * there is little traffic, the experts of a few prompts would pass for the
 * demand of all.
 */
const LEAST_CHOICES_EACH = 1000;

export class ExpertDemand {
  readonly tokens: Float64Array;

  private constructor(size: number) {
    this.tokens = new Float64Array(size);
  }

  /** `size`: sets * experts. */
  static create(size: number): ExpertDemand {
    return new ExpertDemand(size);
  }

  get total(): number {
    return sum(this.tokens);
  }

  /** Whether a map can be made of what was counted so far. */
  get isTelling(): boolean {
    return this.total >= this.leastTotal;
  }

  private get leastTotal(): number {
    return this.tokens.length * LEAST_CHOICES_EACH;
  }

  /** What all ranks counted in the last `elapsedMs`. */
  add(counted: readonly (readonly number[])[], elapsedMs: number): void {
    const kept = this.keptShare(counted, elapsedMs);
    for (let index = 0; index < this.tokens.length; index += 1) {
      this.tokens[index] *= kept;
    }
    for (const counts of counted) {
      counts.forEach((count, index) => {
        if (index < this.tokens.length) this.tokens[index] += count;
      });
    }
  }

  private keptShare(
    counted: readonly (readonly number[])[],
    elapsedMs: number,
  ): number {
    const faded = Math.exp(-elapsedMs / FADE_MS);
    const { total } = this;
    if (total === 0) return faded;
    const fresh = sum(counted.map((counts) => sum(counts)));
    const needed = (this.leastTotal - fresh) / total;
    return Math.max(faded, Math.min(1, needed));
  }
}
