/**
 * Which runners are believed to hold which prompt prefixes. Fed by cache
 * events, which come late and with gaps, by own placements (the runner holds
 * the prefix when it has served it) and by the cached tokens of answers.
 * Bounded in size; a wrong belief costs one prefill, never a wrong answer.
 */
import type { RunnerState } from "./runner.js";
import type { CacheEvent } from "./types.js";

/** Bounds the memory: docs/measurements/decisions.md gives bytes an entry. */
const MOST_PREFIXES = 100_000;
/** More holders than this don't help: the least loaded of them is enough. */
const MOST_HOLDERS = 6;
/** Lookups for one request; longer prompts are cut to their first blocks. */
const MOST_BLOCKS = 32;
/** An entry that outlived this many lost events of its runner is dropped. */
const MOST_GAPS = 2;

interface Holder {
  readonly runner: RunnerState;
  /** Gaps of the runner's events when the entry was confirmed last. */
  gaps: number;
}

export interface Match {
  readonly runner: RunnerState;
  /** Blocks of the prompt that the runner holds. */
  readonly blocks: number;
}

export class PrefixIndex {
  /**
   * Two generations: what isn't used while the younger one fills up is dropped
   * with the older one. Dropping the oldest entry of one map instead took
   * milliseconds, since a map steps over all its deleted entries.
   */
  private young = new Map<number, Holder[]>();
  private old = new Map<number, Holder[]>();

  private constructor() {
    // Made by create.
  }

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  get size(): number {
    return this.young.size + this.old.size;
  }

  /** Longest matches first, at most `limit` runners. */
  find(prefix: readonly number[], limit: number): readonly Match[] {
    const matches: Match[] = [];
    const last = Math.min(prefix.length, MOST_BLOCKS);
    for (let blocks = last; blocks > 0; blocks -= 1) {
      const known = this.holdersOf(prefix[blocks - 1]);
      if (known === undefined) continue;
      for (const holder of known) {
        if (holder.runner.cacheGaps - holder.gaps > MOST_GAPS) continue;
        if (matches.some(({ runner }) => runner === holder.runner)) continue;
        matches.push({ runner: holder.runner, blocks });
        if (matches.length >= limit) return matches;
      }
    }
    return matches;
  }

  onEvent(runner: RunnerState, event: CacheEvent): void {
    if (event.sequence > runner.cacheSequence + 1) runner.cacheGaps += 1;
    if (event.sequence <= runner.cacheSequence) return;
    runner.cacheSequence = event.sequence;
    // Raising the gap count beyond the limit drops all of the runner's
    // entries at once, without a scan.
    if (event.kind === "cleared") runner.cacheGaps += MOST_GAPS + 1;
    if (event.kind === "stored") this.add(runner, event.hashes);
    if (event.kind === "removed") this.remove(runner, event.hashes);
  }

  add(runner: RunnerState, prefix: readonly number[]): void {
    const last = Math.min(prefix.length, MOST_BLOCKS);
    for (let index = 0; index < last; index += 1) {
      this.addOne(runner, prefix[index]);
    }
  }

  remove(runner: RunnerState, hashes: readonly number[]): void {
    for (const hash of hashes) {
      const known = this.holdersOf(hash);
      const index = known?.findIndex((holder) => holder.runner === runner);
      if (index !== undefined && index >= 0) known?.splice(index, 1);
    }
  }

  private holdersOf(hash: number): Holder[] | undefined {
    return this.young.get(hash) ?? this.old.get(hash);
  }

  private addOne(runner: RunnerState, hash: number): void {
    const holders = this.renewed(hash);
    const known = holders.find((holder) => holder.runner === runner);
    if (known !== undefined) {
      known.gaps = runner.cacheGaps;
      return;
    }
    if (holders.length >= MOST_HOLDERS) holders.shift();
    holders.push({ runner, gaps: runner.cacheGaps });
  }

  /** The holders of a prefix, in the young generation. */
  private renewed(hash: number): Holder[] {
    const young = this.young.get(hash);
    if (young !== undefined) return young;
    const holders = this.old.get(hash) ?? [];
    this.old.delete(hash);
    this.young.set(hash, holders);
    if (this.young.size >= MOST_PREFIXES / 2) {
      this.old = this.young;
      this.young = new Map();
    }
    return holders;
  }
}
