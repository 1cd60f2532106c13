/**
 * Runs of the simulated engine: continuous batching by priority, a bounded
 * prefix cache with LRU eviction, and the buffered output of every run, from
 * which interrupted streams resume.
 */
import { createHash } from "node:crypto";

/** Size of a prefix cache block. */
const BLOCK_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;

export interface RunOptions {
  readonly id: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly priority: number;
  readonly streamed: boolean;
  readonly isChat: boolean;
  readonly model: string;
}

export interface Run extends RunOptions {
  /**
   * Prompt hash; part of every output token, so that tests can match the two.
   */
  readonly digest: string;
  readonly startedAtMs: number;
  readonly pieces: string[];
  readonly listeners: Set<() => void>;
  remainingPrefillTokens: number;
  hasEnded: boolean;
  isCancelled: boolean;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly atMs: number;
  readonly kind: "stored" | "removed";
  readonly blocks: readonly string[];
}

export interface EngineLimits {
  /** Maximum number of runs that advance in one step. */
  readonly batchSize: number;
  /** Prompt tokens processed per step, over all runs. */
  readonly prefillTokensPerStep: number;
  /** Capacity of the prefix cache. */
  readonly cacheBlocks: number;
}

export class EngineRuns {
  readonly runs = new Map<string, Run>();
  /** Run ids in start order; test oracles read these. */
  readonly started: string[] = [];
  readonly cacheEvents: CacheEvent[] = [];
  private active: Run[] = [];
  private waiting: Run[] = [];
  private readonly cache = new Set<string>();

  private constructor(private readonly limits: EngineLimits) {}

  static create(limits: EngineLimits): EngineRuns {
    return new EngineRuns(limits);
  }

  start(options: RunOptions): Run {
    const digest = createHash("sha256").update(options.prompt).digest("hex");
    const run: Run = {
      ...options,
      digest: digest.slice(0, 8),
      startedAtMs: Date.now(),
      pieces: [],
      listeners: new Set(),
      remainingPrefillTokens: this.countUncachedTokens(options.prompt),
      hasEnded: false,
      isCancelled: false,
    };
    this.runs.set(run.id, run);
    this.started.push(run.id);
    this.waiting.push(run);
    this.waiting.sort((a, b) => a.priority - b.priority);
    return run;
  }

  cancel(id: string): boolean {
    const run = this.runs.get(id);
    if (run === undefined || run.hasEnded) return false;
    run.isCancelled = true;
    this.end(run);
    return true;
  }

  /** Executes one model step: prefill, or one output token per run. */
  step(): void {
    this.fillBatch();
    let prefillBudget = this.limits.prefillTokensPerStep;
    for (const run of this.active) {
      const processed = Math.min(prefillBudget, run.remainingPrefillTokens);
      run.remainingPrefillTokens -= processed;
      prefillBudget -= processed;
      if (run.remainingPrefillTokens === 0 && processed === 0)
        this.addToken(run);
    }
    this.active = this.active.filter(({ hasEnded }) => !hasEnded);
  }

  load(): Readonly<Record<string, number>> {
    const tokens = this.waiting.reduce((sum, run) => sum + run.tokens, 0);
    return {
      running: this.active.length,
      waiting: this.waiting.length,
      waitingTokens: tokens,
      freeBlocks: this.limits.cacheBlocks - this.cache.size,
      totalBlocks: this.limits.cacheBlocks,
    };
  }

  get isIdle(): boolean {
    return this.active.length + this.waiting.length === 0;
  }

  private fillBatch(): void {
    const freeSlots = this.limits.batchSize - this.active.length;
    if (freeSlots <= 0 || this.waiting.length === 0) return;
    this.active.push(...this.waiting.splice(0, freeSlots));
  }

  private addToken(run: Run): void {
    const index = run.pieces.length;
    const isLast = index + 1 >= run.tokens;
    run.pieces.push(formatPiece(run, index, isLast));
    if (isLast) this.end(run);
    else notify(run);
  }

  private end(run: Run): void {
    run.hasEnded = true;
    this.active = this.active.filter((other) => other !== run);
    this.waiting = this.waiting.filter((other) => other !== run);
    notify(run);
  }

  private countUncachedTokens(prompt: string): number {
    const blocks = prefixBlocks(prompt);
    const missing = blocks.filter((block) => !this.cache.has(block));
    for (const block of blocks) this.markRecentlyUsed(block);
    if (missing.length > 0) this.recordCacheEvent("stored", missing);
    this.evict();
    const tokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const cachedBlocks = blocks.length - missing.length;
    return Math.max(
      0,
      tokens - (cachedBlocks * BLOCK_CHARACTERS) / CHARACTERS_PER_TOKEN,
    );
  }

  private markRecentlyUsed(block: string): void {
    this.cache.delete(block);
    this.cache.add(block);
  }

  private evict(): void {
    const removed: string[] = [];
    for (const block of this.cache) {
      if (this.cache.size <= this.limits.cacheBlocks) break;
      this.cache.delete(block);
      removed.push(block);
    }
    if (removed.length > 0) this.recordCacheEvent("removed", removed);
  }

  private recordCacheEvent(
    kind: CacheEvent["kind"],
    blocks: readonly string[],
  ): void {
    const sequence = this.cacheEvents.length;
    const atMs = Date.now();
    this.cacheEvents.push({ sequence, atMs, kind, blocks });
  }
}

/** Hash of each full prompt block, computed over the whole prefix up to it. */
export function prefixBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({ length: count }, (_, index) => {
    const prefix = prompt.slice(0, (index + 1) * BLOCK_CHARACTERS);
    return createHash("sha256").update(prefix).digest("hex").slice(0, 16);
  });
}

/** Text of one output token; identifies the run it belongs to. */
export function tokenText(digest: string, index: number): string {
  return `${digest}.${index} `;
}

/** Response body of a run that wasn't streamed. */
export function completionBody(run: Run): string {
  const text = run.pieces
    .map((_, index) => tokenText(run.digest, index))
    .join("");
  const usage = {
    prompt_tokens: Math.ceil(run.prompt.length / CHARACTERS_PER_TOKEN),
    completion_tokens: run.tokens,
    total_tokens:
      Math.ceil(run.prompt.length / CHARACTERS_PER_TOKEN) + run.tokens,
  };
  const choice = run.isChat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return JSON.stringify({
    id: run.id,
    object: run.isChat ? "chat.completion" : "text_completion",
    created: 0,
    model: run.model,
    choices: [{ index: 0, ...choice, finish_reason: "stop" }],
    usage,
  });
}

function formatPiece(run: Run, index: number, isLast: boolean): string {
  const text = tokenText(run.digest, index);
  const choice = run.isChat ? { delta: { content: text } } : { text };
  return JSON.stringify({
    id: run.id,
    object: run.isChat ? "chat.completion.chunk" : "text_completion",
    created: 0,
    model: run.model,
    choices: [{ index: 0, ...choice, finish_reason: isLast ? "stop" : null }],
  });
}

function notify(run: Run): void {
  for (const listener of run.listeners) listener();
}
