/**
 * Remembers the runs that were lost in crashes together with the parts of their
 * prompts, so that a part that recurs from crash to crash can be found though no
 * two requests are alike.
 */
import type { Now } from "../internal.js";
import { isSameCrash } from "./crash-evidence.js";
import type { LostPromptRun } from "./types.js";

/** How long a lost run is remembered, ms. */
export const PROMPT_RUN_RETENTION_MS = 600_000;
/** Beyond this number, the run that was added first is dropped. */
export const MAXIMUM_PROMPT_RUNS = 1000;
/**
 * Maximum number of parts of one run. Parts of a longer prompt beyond it aren't
 * tracked.
 */
export const MAXIMUM_PARTS = 32;

export interface KnownPromptRun extends LostPromptRun {
  /** Seen by this entry, which publishes it. */
  readonly isOwn: boolean;
}

export class LostPromptRuns {
  private runs: readonly KnownPromptRun[] = [];

  private constructor(private readonly now: Now) {}

  /** `now`: Unix ms. */
  static create(now: Now): LostPromptRuns {
    return new LostPromptRuns(now);
  }

  get all(): readonly KnownPromptRun[] {
    return this.runs;
  }

  add(run: LostPromptRun, isOwn: boolean): void {
    if (run.parts.length === 0) return;
    if (this.runs.some((known) => isSameRun(known, run))) return;
    const parts = run.parts.slice(0, MAXIMUM_PARTS);
    const sinceMs = this.now() - PROMPT_RUN_RETENTION_MS;
    this.runs = [...this.runs, { ...run, parts, isOwn }]
      .filter(({ lostAtMs }) => lostAtMs > sinceMs)
      .slice(-MAXIMUM_PROMPT_RUNS);
  }

  /** Number of crashes with the one of these parts that was in most of them. */
  mostCrashesOf(parts: readonly string[]): number {
    const counts = [...new Set(parts)].map((part) => this.crashesWith(part));
    return Math.max(0, ...counts);
  }

  private crashesWith(part: string): number {
    const runs = this.runs.filter((run) => run.parts.includes(part));
    return runs.filter(
      (run, at) => !runs.slice(0, at).some((other) => isSameCrash(run, other)),
    ).length;
  }
}

function isSameRun(one: LostPromptRun, other: LostPromptRun): boolean {
  return one.request === other.request && isSameCrash(one, other);
}
