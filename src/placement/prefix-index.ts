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
  readonly gaps: number;
}

export interface Match {
  readonly runner: RunnerState;
  /** Blocks of the prompt that the runner holds. */
  readonly blocks: number;
}

export class PrefixIndex {
  private readonly holders = new Map<number, Holder[]>();

  private constructor() {
    // Made by create.
  }

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  get size(): number {
    return this.holders.size;
  }

  /** Longest matches first, at most `limit` runners. */
  find(prefix: readonly number[], limit: number): readonly Match[] {
    const matches: Match[] = [];
    const last = Math.min(prefix.length, MOST_BLOCKS);
    for (let blocks = last; blocks > 0; blocks -= 1) {
      const known = this.holders.get(prefix[blocks - 1] ?? 0);
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
      this.addOne(runner, prefix[index] ?? 0);
    }
  }

  remove(runner: RunnerState, hashes: readonly number[]): void {
    for (const hash of hashes) {
      const known = this.holders.get(hash);
      if (known === undefined) continue;
      const rest = known.filter((holder) => holder.runner !== runner);
      if (rest.length === 0) this.holders.delete(hash);
      else this.holders.set(hash, rest);
    }
  }

  private addOne(runner: RunnerState, hash: number): void {
    const known = this.holders.get(hash) ?? [];
    const rest = known.filter((holder) => holder.runner !== runner);
    const kept = rest.slice(-(MOST_HOLDERS - 1));
    // Deleting first moves the prefix to the young end of the map, so the
    // oldest one is dropped when the index is full.
    this.holders.delete(hash);
    this.holders.set(hash, [...kept, { runner, gaps: runner.cacheGaps }]);
    if (this.holders.size <= MOST_PREFIXES) return;
    const oldest = this.holders.keys().next();
    if (oldest.done !== true) this.holders.delete(oldest.value);
  }
}
