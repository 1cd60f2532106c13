/**
 * Remembers the runs that were lost in crashes together with the parts of their
 * prompts, so that a part that recurs from crash to crash can be found though no
 * two requests are alike.
 */
import { Crash } from "./crash.js";
import { isSameCrash } from "./crash-evidence.js";
import type { LostPromptRun } from "./types.js";

/**
 * Maximum number of parts of one run. Parts of a longer prompt beyond it aren't
 * tracked.
 */
export const MAXIMUM_PARTS = 32;

/** Rounding errors of durations are smaller than this, ms. */
const SAME_DURATION_MS = 0.01;

export interface KnownPromptRun extends LostPromptRun {
  /** Seen by this entry, which publishes it. */
  readonly isOwn: boolean;
}

export class LostPromptRuns {
  private runs: readonly KnownPromptRun[] = [];
  /** When the last lost run with a part was sent, by part, Unix ms. */
  private readonly lastSentAtMs = new Map<string, number>();

  static create(): LostPromptRuns {
    return new LostPromptRuns();
  }

  /** In the order in which they were added. */
  get all(): readonly KnownPromptRun[] {
    return this.runs;
  }

  /** Returns false if the run was known. */
  add(run: LostPromptRun, isOwn: boolean): boolean {
    if (this.runs.some((known) => isSameRun(known, run))) return false;
    const parts = run.parts.slice(0, MAXIMUM_PARTS);
    this.runs = [...this.runs, { ...run, parts, isOwn }];
    for (const part of parts) {
      const knownAtMs = this.sentAtMs(part);
      this.lastSentAtMs.set(part, Math.max(knownAtMs, run.sentAtMs));
    }
    return true;
  }

  /** Whether a run with the part that was sent then or later was lost. */
  hasRunSince(part: string, sinceMs: number): boolean {
    return this.lastSentAtMs.has(part) && this.sentAtMs(part) >= sinceMs;
  }

  /** Drops all other runs. */
  retain(runs: readonly KnownPromptRun[]): void {
    this.runs = runs;
    const parts = new Set(runs.flatMap((run) => run.parts));
    for (const part of this.lastSentAtMs.keys()) {
      if (!parts.has(part)) this.lastSentAtMs.delete(part);
    }
  }

  /** Number of servers that crashed with the one of these parts that was lost most. */
  mostCrashesOf(parts: readonly string[]): number {
    const counts = Array.from(new Set(parts), (part) => {
      const lost = this.runs.filter((run) => run.parts.includes(part));
      return Crash.group(lost).length;
    });
    return Math.max(0, ...counts);
  }

  private sentAtMs(part: string): number {
    return this.lastSentAtMs.get(part) ?? Number.NEGATIVE_INFINITY;
  }
}

/**
 * A run that was read while its writer's clock was ahead was moved in time, so
 * one with the same duration is the same as well.
 */
function isSameRun(one: LostPromptRun, other: LostPromptRun): boolean {
  if (one.request !== other.request || one.runner !== other.runner)
    return false;
  const differenceMs = durationMsOf(one) - durationMsOf(other);
  return isSameCrash(one, other) || Math.abs(differenceMs) < SAME_DURATION_MS;
}

function durationMsOf({ sentAtMs, lostAtMs }: LostPromptRun): number {
  return lostAtMs - sentAtMs;
}
