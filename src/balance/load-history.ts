/**
 * The load of recent windows, to try a plan on. A plan is made for the load
 * expected on average, but a step waits for the slowest rank: where demand
 * swings, a map that is even for the mean may be uneven at either end of the
 * swing, and each small move from there to here pays on paper only.
 */
import { rankTimes, stepTime } from "./step-model.js";
import type { ExpertMap, RankState } from "./types.js";

/** Every second window of the last 24: four minutes, a dozen comparisons. */
const KEEP = 12;
const EVERY = 2;

export class LoadHistory {
  private kept: readonly ArrayLike<number>[] = [];
  private windows = 0;

  private constructor() {
    // Made by create.
  }

  static create(): LoadHistory {
    return new LoadHistory();
  }

  observe(tokens: ArrayLike<number>): void {
    this.windows++;
    if (this.windows % EVERY !== 0) return;
    this.kept = [...this.kept, tokens].slice(-KEEP);
  }

  /** Mean share of the step time that the new map would have saved. */
  savedShare(from: ExpertMap, to: ExpertMap, ranks: RankState): number {
    if (this.kept.length === 0) return 0;
    let saved = 0;
    for (const tokens of this.kept) {
      saved += savedShareOn(tokens, from, to, ranks);
    }
    return saved / this.kept.length;
  }
}

/** Share of the step time that one map saves over another under a load. */
export function savedShareOn(
  tokens: ArrayLike<number>,
  from: ExpertMap,
  to: ExpertMap,
  ranks: RankState,
): number {
  const before = slowestUnder(from, tokens, ranks);
  const after = slowestUnder(to, tokens, ranks);
  return before > 0 ? 1 - after / before : 0;
}

function slowestUnder(
  map: ExpertMap,
  tokens: ArrayLike<number>,
  ranks: RankState,
): number {
  const times = rankTimes(map, tokens, ranks);
  return stepTime(map.shape, times, ranks.speeds).slowest;
}
