/**
 * Runs of the stand-in engine: continuous batching by priority, a prefix
 * cache in limited memory, and the pieces of every answer, kept for resume.
 */
import { createHash } from "node:crypto";

/** Characters of one cached block of a prompt. */
const BLOCK_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;

export interface RunOptions {
  readonly id: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly priority: number;
  readonly streamed: boolean;
  readonly chat: boolean;
  readonly model: string;
}

export interface Run extends RunOptions {
  /** Distinguishes answers: every token of an answer names its prompt. */
  readonly digest: string;
  readonly startedAtMs: number;
  readonly pieces: string[];
  readonly listeners: Set<() => void>;
  /** Prompt tokens still to be computed. */
  prefill: number;
  ended: boolean;
  cancelled: boolean;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly atMs: number;
  readonly kind: "stored" | "removed";
  readonly blocks: readonly string[];
}

export interface EngineLimits {
  /** Runs advanced in one step. */
  readonly batch: number;
  /** Prompt tokens computed in one step, over all runs. */
  readonly prefillPerStep: number;
  /** Blocks of the prefix cache. */
  readonly blocks: number;
}

export class EngineRuns {
  readonly runs = new Map<string, Run>();
  /** Ids in the order in which they were started: the oracle's record. */
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
      prefill: this.uncachedTokens(options.prompt),
      ended: false,
      cancelled: false,
    };
    this.runs.set(run.id, run);
    this.started.push(run.id);
    this.waiting.push(run);
    this.waiting.sort((a, b) => a.priority - b.priority);
    return run;
  }

  cancel(id: string): boolean {
    const run = this.runs.get(id);
    if (run === undefined || run.ended) return false;
    run.cancelled = true;
    this.end(run);
    return true;
  }

  /** One lock-step of the model. */
  step(): void {
    this.fillBatch();
    let prefill = this.limits.prefillPerStep;
    for (const run of this.active) {
      const part = Math.min(prefill, run.prefill);
      run.prefill -= part;
      prefill -= part;
      if (run.prefill === 0 && part === 0) this.addToken(run);
    }
    this.active = this.active.filter(({ ended }) => !ended);
  }

  load(): Readonly<Record<string, number>> {
    const tokens = this.waiting.reduce((sum, run) => sum + run.tokens, 0);
    return {
      running: this.active.length,
      waiting: this.waiting.length,
      waitingTokens: tokens,
      freeBlocks: this.limits.blocks - this.cache.size,
      totalBlocks: this.limits.blocks,
    };
  }

  get idle(): boolean {
    return this.active.length + this.waiting.length === 0;
  }

  private fillBatch(): void {
    const room = this.limits.batch - this.active.length;
    if (room <= 0 || this.waiting.length === 0) return;
    this.active.push(...this.waiting.splice(0, room));
  }

  private addToken(run: Run): void {
    const index = run.pieces.length;
    const isLast = index + 1 >= run.tokens;
    run.pieces.push(pieceOf(run, index, isLast));
    if (isLast) this.end(run);
    else notify(run);
  }

  private end(run: Run): void {
    run.ended = true;
    this.active = this.active.filter((other) => other !== run);
    this.waiting = this.waiting.filter((other) => other !== run);
    notify(run);
  }

  private uncachedTokens(prompt: string): number {
    const blocks = prefixBlocks(prompt);
    const missing = blocks.filter((block) => !this.cache.has(block));
    for (const block of blocks) this.touch(block);
    if (missing.length > 0) this.record("stored", missing);
    this.evict();
    const tokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const cached = blocks.length - missing.length;
    return Math.max(
      0,
      tokens - (cached * BLOCK_CHARACTERS) / CHARACTERS_PER_TOKEN,
    );
  }

  private touch(block: string): void {
    this.cache.delete(block);
    this.cache.add(block);
  }

  private evict(): void {
    const removed: string[] = [];
    for (const block of this.cache) {
      if (this.cache.size <= this.limits.blocks) break;
      this.cache.delete(block);
      removed.push(block);
    }
    if (removed.length > 0) this.record("removed", removed);
  }

  private record(kind: CacheEvent["kind"], blocks: readonly string[]): void {
    const sequence = this.cacheEvents.length;
    const atMs = Date.now();
    this.cacheEvents.push({ sequence, atMs, kind, blocks });
  }
}

/** Hash of each whole prefix block; a block names all before it too. */
export function prefixBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({ length: count }, (_, index) => {
    const prefix = prompt.slice(0, (index + 1) * BLOCK_CHARACTERS);
    return createHash("sha256").update(prefix).digest("hex").slice(0, 16);
  });
}

/** Text of one token; a test can tell whose answer it belongs to. */
export function tokenText(digest: string, index: number): string {
  return `${digest}.${index} `;
}

/** The whole answer body of a run that wasn't streamed. */
export function wholeBody(run: Run): string {
  const text = run.pieces
    .map((_, index) => tokenText(run.digest, index))
    .join("");
  const usage = {
    prompt_tokens: Math.ceil(run.prompt.length / CHARACTERS_PER_TOKEN),
    completion_tokens: run.tokens,
    total_tokens:
      Math.ceil(run.prompt.length / CHARACTERS_PER_TOKEN) + run.tokens,
  };
  const choice = run.chat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return JSON.stringify({
    id: run.id,
    object: run.chat ? "chat.completion" : "text_completion",
    created: 0,
    model: run.model,
    choices: [{ index: 0, ...choice, finish_reason: "stop" }],
    usage,
  });
}

function pieceOf(run: Run, index: number, isLast: boolean): string {
  const text = tokenText(run.digest, index);
  const choice = run.chat ? { delta: { content: text } } : { text };
  return JSON.stringify({
    id: run.id,
    object: run.chat ? "chat.completion.chunk" : "text_completion",
    created: 0,
    model: run.model,
    choices: [{ index: 0, ...choice, finish_reason: isLast ? "stop" : null }],
  });
}

function notify(run: Run): void {
  for (const listener of run.listeners) listener();
}
