/**
 * Keeps the load of recent windows to evaluate plans against. A plan is made
 * for the expected mean load, but a step waits for the slowest rank: when
 * demand oscillates, a map that is even for the mean may be uneven at either
 * extreme, so that small moves only appear to save time.
 */
import { rankTimes, stepTime } from "./step-model.js";
import type { ExpertMap, RankState } from "./types.js";

/** Every second window of the last 24 (four minutes at ten seconds each). */
const MAXIMUM_SAMPLES = 12;
const SAMPLE_INTERVAL_WINDOWS = 2;

export class LoadHistory {
  private samples: readonly ArrayLike<number>[] = [];
  private windows = 0;

  private constructor() {
    // Instances are made by create().
  }

  static create(): LoadHistory {
    return new LoadHistory();
  }

  observe(tokens: ArrayLike<number>): void {
    this.windows++;
    if (this.windows % SAMPLE_INTERVAL_WINDOWS !== 0) return;
    this.samples = [...this.samples, tokens].slice(-MAXIMUM_SAMPLES);
  }

  /** Mean share of step time the new map would have saved on this history. */
  savedShare(from: ExpertMap, to: ExpertMap, ranks: RankState): number {
    if (this.samples.length === 0) return 0;
    let saved = 0;
    for (const tokens of this.samples) {
      saved += savedShareOn(tokens, from, to, ranks);
    }
    return saved / this.samples.length;
  }
}

/** Share of the step time that one map saves over another under a load. */
export function savedShareOn(
  tokens: ArrayLike<number>,
  from: ExpertMap,
  to: ExpertMap,
  ranks: RankState,
): number {
  const before = slowestStepTime(from, tokens, ranks);
  const after = slowestStepTime(to, tokens, ranks);
  return before > 0 ? 1 - after / before : 0;
}

function slowestStepTime(
  map: ExpertMap,
  tokens: ArrayLike<number>,
  ranks: RankState,
): number {
  const times = rankTimes(map, tokens, ranks);
  return stepTime(map.shape, times, ranks.speeds).slowest;
}
