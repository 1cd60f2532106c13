/**
 * One runner as a queue in virtual time: a batch of slots, waiting requests by
 * priority, a prefix cache that forgets the oldest, and faults.
 */
import type { CacheEvent, RunnerLoad } from "../../src/internal.js";
import type { VirtualTime } from "./virtual-time.js";

export interface Job {
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix: readonly number[];
  /** Time spent on moving the cache of the prefix here; 0 for none. */
  readonly importMs: number;
  readonly onStarted: () => void;
  readonly onFirstToken: () => void;
  readonly onEnded: (served: Served) => void;
  readonly onFailed: () => void;
}

export interface Served {
  readonly serviceMs: number;
  readonly cachedTokens: number;
}

export interface RunnerModelSettings {
  readonly name: string;
  readonly slots: number;
  readonly prefillMsPerToken: number;
  readonly stepMs: number;
  readonly blockTokens: number;
  readonly cacheBlocks: number;
}

export class RunnerModel {
  /** Steps take this many times as long: the slowest rank of its group. */
  slowdown = 1;
  /** Every request fails at once. */
  isDown = false;
  /** Slot time given to requests, ms. */
  busyMs = 0;
  private readonly running = new Set<Job>();
  private readonly waiting: Job[] = [];
  private readonly cache = new Set<number>();
  private sequence = 0;

  private constructor(
    readonly settings: RunnerModelSettings,
    private readonly time: VirtualTime,
    private readonly onCacheEvent: (event: CacheEvent) => void,
  ) {}

  static create(
    settings: RunnerModelSettings,
    time: VirtualTime,
    onCacheEvent: (event: CacheEvent) => void = () => undefined,
  ): RunnerModel {
    return new RunnerModel(settings, time, onCacheEvent);
  }

  get load(): RunnerLoad {
    const waitingTokens = this.waiting.reduce(
      (sum, job) => sum + job.promptTokens + job.outputTokens,
      0,
    );
    const { cacheBlocks, stepMs } = this.settings;
    return {
      running: this.running.size,
      waiting: this.waiting.length,
      waitingTokens,
      freeBlocks: cacheBlocks,
      totalBlocks: cacheBlocks,
      ageMs: 0,
      stepMs: stepMs * this.slowdown,
    };
  }

  submit(job: Job): void {
    if (this.isDown) {
      job.onFailed();
      return;
    }
    const before = this.waiting.findIndex(
      ({ priority }) => priority > job.priority,
    );
    this.waiting.splice(before < 0 ? this.waiting.length : before, 0, job);
    this.startNext();
  }

  /** All work breaks and the cache is lost. */
  fail(): void {
    this.isDown = true;
    const lost = [...this.running, ...this.waiting.splice(0)];
    this.running.clear();
    this.cache.clear();
    this.tellCache("cleared", []);
    for (const job of lost) job.onFailed();
  }

  private startNext(): void {
    while (this.running.size < this.settings.slots) {
      const job = this.waiting.shift();
      if (job === undefined) return;
      this.start(job);
    }
  }

  private start(job: Job): void {
    const { prefillMsPerToken, stepMs } = this.settings;
    this.running.add(job);
    job.onStarted();
    const cachedTokens = this.cachedTokens(job);
    const fresh = job.promptTokens - cachedTokens;
    const computeMs = fresh * prefillMsPerToken * this.slowdown;
    const prefillMs = job.importMs > 0 ? job.importMs : computeMs;
    const serviceMs = prefillMs + job.outputTokens * stepMs * this.slowdown;
    this.time.after(prefillMs + stepMs * this.slowdown, () => {
      if (this.running.has(job)) job.onFirstToken();
    });
    this.time.after(serviceMs, () => {
      if (!this.running.delete(job)) return;
      this.busyMs += serviceMs;
      this.remember(job);
      job.onEnded({ serviceMs, cachedTokens });
      this.startNext();
    });
  }

  private cachedTokens(job: Job): number {
    let blocks = 0;
    while (blocks < job.prefix.length) {
      if (!this.cache.has(job.prefix[blocks])) break;
      blocks += 1;
    }
    return Math.min(job.promptTokens, blocks * this.settings.blockTokens);
  }

  private remember(job: Job): void {
    const fresh = job.prefix.filter((hash) => !this.cache.has(hash));
    for (const hash of job.prefix) {
      this.cache.delete(hash);
      this.cache.add(hash);
    }
    if (fresh.length > 0) this.tellCache("stored", fresh);
    const excess = this.cache.size - this.settings.cacheBlocks;
    if (excess <= 0) return;
    const dropped = [...this.cache].slice(0, excess);
    for (const hash of dropped) this.cache.delete(hash);
    this.tellCache("removed", dropped);
  }

  private tellCache(kind: CacheEvent["kind"], hashes: readonly number[]): void {
    const { sequence } = this;
    this.sequence += 1;
    this.onCacheEvent({ runner: this.settings.name, sequence, kind, hashes });
  }
}
