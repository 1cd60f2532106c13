/**
 * Simulates one runner in virtual time: a batch of slots, a priority queue of
 * waiting requests, an LRU prefix cache, and faults.
 */
import type { CacheEvent, RunnerLoad } from "../../src/internal.js";
import type { VirtualClock } from "./virtual-clock.js";

export interface Job {
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix: readonly number[];
  /**
   * Time to transfer the prefix's KV cache to this runner; 0 for no transfer.
   */
  readonly cacheTransferMs: number;
  readonly onStarted: () => void;
  readonly onFirstToken: () => void;
  readonly onEnded: (result: JobResult) => void;
  readonly onFailed: () => void;
}

export interface JobResult {
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
  /** Factor on step and prefill time, set by the group's slowest rank. */
  slowdown = 1;
  /** While true, every submitted request fails immediately. */
  isDown = false;
  /** Total slot time of completed requests. */
  busyMs = 0;
  private readonly running = new Set<Job>();
  private readonly waiting: Job[] = [];
  private readonly cache = new Set<number>();
  private sequence = 0;

  private constructor(
    readonly settings: RunnerModelSettings,
    private readonly time: VirtualClock,
    private readonly onCacheEvent: (event: CacheEvent) => void,
  ) {}

  static create(
    settings: RunnerModelSettings,
    time: VirtualClock,
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
    const insertAt = this.waiting.findIndex(
      ({ priority }) => priority > job.priority,
    );
    this.waiting.splice(insertAt < 0 ? this.waiting.length : insertAt, 0, job);
    this.startNext();
  }

  /** Fails all running and waiting requests and clears the cache. */
  fail(): void {
    this.isDown = true;
    const failedJobs = [...this.running, ...this.waiting.splice(0)];
    this.running.clear();
    this.cache.clear();
    this.emitCacheEvent("cleared", []);
    for (const job of failedJobs) job.onFailed();
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
    const uncachedTokens = job.promptTokens - cachedTokens;
    const computeMs = uncachedTokens * prefillMsPerToken * this.slowdown;
    const prefillMs = job.cacheTransferMs > 0 ? job.cacheTransferMs : computeMs;
    const serviceMs = prefillMs + job.outputTokens * stepMs * this.slowdown;
    this.time.schedule(prefillMs + stepMs * this.slowdown, () => {
      if (this.running.has(job)) job.onFirstToken();
    });
    this.time.schedule(serviceMs, () => {
      if (!this.running.delete(job)) return;
      this.busyMs += serviceMs;
      this.cachePrefix(job);
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

  private cachePrefix(job: Job): void {
    const newBlocks = job.prefix.filter((hash) => !this.cache.has(hash));
    for (const hash of job.prefix) {
      this.cache.delete(hash);
      this.cache.add(hash);
    }
    if (newBlocks.length > 0) this.emitCacheEvent("stored", newBlocks);
    const excess = this.cache.size - this.settings.cacheBlocks;
    if (excess <= 0) return;
    const evicted = [...this.cache].slice(0, excess);
    for (const hash of evicted) this.cache.delete(hash);
    this.emitCacheEvent("removed", evicted);
  }

  private emitCacheEvent(
    kind: CacheEvent["kind"],
    hashes: readonly number[],
  ): void {
    const { sequence } = this;
    this.sequence += 1;
    this.onCacheEvent({ runner: this.settings.name, sequence, kind, hashes });
  }
}
