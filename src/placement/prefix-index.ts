/**
 * Approximate index of the runners that have a prompt prefix in their cache.
 * Sources are cache events, which are delayed and may be lost, placements of
 * this entry (a runner that served a prefix has it cached) and the cached
 * tokens reported with answers. The size is bounded. A wrong match costs one
 * prefill, but never leads to a wrong answer.
 */
import type { RunnerState } from "./runner.js";
import type { CacheEvent } from "./types.js";

/** Bounds memory; docs/measurements/decisions.md has the bytes per prefix. */
const MAXIMUM_PREFIXES = 100_000;
/** Holders kept per prefix; more don't help to find one with room. */
const MAXIMUM_HOLDERS = 6;
/** Blocks looked up per request; later blocks of a prompt are ignored. */
const MAXIMUM_BLOCKS = 32;
/** Event gaps of a runner since a holder was confirmed; more invalidate it. */
const MAXIMUM_GAPS = 2;

interface Holder {
  readonly runner: RunnerState;
  /** The runner's `cacheGaps` when the holder was last confirmed. */
  gaps: number;
}

export interface PrefixMatch {
  readonly runner: RunnerState;
  /** Leading blocks of the prompt that the runner has cached. */
  readonly blocks: number;
}

export class PrefixIndex {
  /**
   * Two generations: when the young one is full, the old one is dropped, with
   * all prefixes not added again meanwhile. Evicting the oldest key of a single
   * map took milliseconds, since iterating a map steps over deleted keys.
   */
  private young = new Map<number, Holder[]>();
  private old = new Map<number, Holder[]>();

  private constructor() {
    // Instances come from create().
  }

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  get size(): number {
    return this.young.size + this.old.size;
  }

  /** Matches by descending length, for at most `limit` runners. */
  find(prefix: readonly number[], limit: number): readonly PrefixMatch[] {
    const matches: PrefixMatch[] = [];
    const last = Math.min(prefix.length, MAXIMUM_BLOCKS);
    for (let blocks = last; blocks > 0; blocks -= 1) {
      const holders = this.holdersOf(prefix[blocks - 1]);
      if (holders === undefined) continue;
      for (const holder of holders) {
        if (holder.runner.cacheGaps - holder.gaps > MAXIMUM_GAPS) continue;
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
    // Raising the gap count above the maximum invalidates all of the runner's
    // holders at once, without a scan.
    if (event.kind === "cleared") runner.cacheGaps += MAXIMUM_GAPS + 1;
    if (event.kind === "stored") this.add(runner, event.hashes);
    if (event.kind === "removed") this.remove(runner, event.hashes);
  }

  add(runner: RunnerState, prefix: readonly number[]): void {
    const last = Math.min(prefix.length, MAXIMUM_BLOCKS);
    for (let index = 0; index < last; index += 1) {
      this.addHolder(runner, prefix[index]);
    }
  }

  remove(runner: RunnerState, hashes: readonly number[]): void {
    for (const hash of hashes) {
      const holders = this.holdersOf(hash);
      const index = holders?.findIndex((holder) => holder.runner === runner);
      if (index !== undefined && index >= 0) holders?.splice(index, 1);
    }
  }

  private holdersOf(hash: number): Holder[] | undefined {
    return this.young.get(hash) ?? this.old.get(hash);
  }

  private addHolder(runner: RunnerState, hash: number): void {
    const holders = this.promote(hash);
    const existing = holders.find((holder) => holder.runner === runner);
    if (existing !== undefined) {
      existing.gaps = runner.cacheGaps;
      return;
    }
    if (holders.length >= MAXIMUM_HOLDERS) holders.shift();
    holders.push({ runner, gaps: runner.cacheGaps });
  }

  /** Moves a prefix to the young generation and returns its holders. */
  private promote(hash: number): Holder[] {
    const young = this.young.get(hash);
    if (young !== undefined) return young;
    const holders = this.old.get(hash) ?? [];
    this.old.delete(hash);
    this.young.set(hash, holders);
    if (this.young.size >= MAXIMUM_PREFIXES / 2) {
      this.old = this.young;
      this.young = new Map();
    }
    return holders;
  }
}
