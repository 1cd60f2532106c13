/**
 * Decides which requests are withheld because a part of their prompts crashes
 * backend servers, and which crashes speak against a request as a whole.
 */
import type { Now } from "../internal.js";
import { CrashAnalysis } from "./crash-analysis.js";
import { aheadMsOf, movedBack } from "./crash-evidence.js";
import { LostPromptRuns, type KnownPromptRun } from "./lost-prompt-runs.js";
import { setNewest } from "./newest-entries.js";
import {
  MAXIMUM_RECORD_ITEMS,
  WITHHOLD_DURATION_MS,
} from "./suspect-requests.js";
import type {
  CrashedRun,
  HarmlessPart,
  LostPromptRun,
  PartRecord,
} from "./types.js";

/** Maximum number of lost runs in the record that an entry publishes. */
export const MAXIMUM_RECORD_RUNS = 32;
/** How long a lost run is remembered because of which nothing is withheld, ms. */
const RUN_RETENTION_MS = 600_000;
/** Beyond this number, the oldest of these runs are dropped. */
const MAXIMUM_RUNS = 1000;
/** Interval at which old runs are dropped, ms. */
const EXPIRY_INTERVAL_MS = 10_000;
/** Only the parts that were last seen to be harmless are remembered. */
const MAXIMUM_HARMLESS_PARTS = 4000;

export class SuspectParts {
  private readonly lost = LostPromptRuns.create();
  /**
   * When a run with a part last survived, at any entry, Unix ms. By part, the
   * one that changed longest ago first.
   */
  private readonly harmlessAtMs = new Map<string, number>();
  /** What this entry has published of it. */
  private readonly publishedAtMs = new Map<string, number>();
  /** Undefined if there has been new evidence since the last analysis. */
  private currentAnalysis: CrashAnalysis | undefined;
  private expiredAtMs: number;

  private constructor(private readonly now: Now) {
    this.expiredAtMs = now();
  }

  /** `now`: Unix ms. */
  static create(now: Now): SuspectParts {
    return new SuspectParts(now);
  }

  /** Parts because of which requests are withheld. */
  get withheldParts(): readonly string[] {
    return this.analysis.crashingParts.flat();
  }

  isWithheld(parts: readonly string[]): boolean {
    return this.analysis.crashingParts.some((set) =>
      set.every((part) => parts.includes(part)),
    );
  }

  /** Whether a crashing part explains the loss of the run. */
  isExplained(run: CrashedRun): boolean {
    return this.analysis.isExplained(run);
  }

  /**
   * When a run with the part, or of the request, last survived at any entry,
   * Unix ms; negative infinity if none has.
   */
  harmlessAt(digest: string): number {
    return this.harmlessAtMs.get(digest) ?? Number.NEGATIVE_INFINITY;
  }

  /** Number of servers that crashed with the one of these parts lost most. */
  mostCrashesOf(parts: readonly string[]): number {
    return this.lost.mostCrashesOf(parts);
  }

  /** This entry has lost the run in a crash. */
  addOwnRun(run: LostPromptRun): void {
    this.addRun(run, true);
  }

  /**
   * A run with these parts has survived. Returns whether other entries should
   * learn of it, since a run with one of them was lost.
   */
  onSurvived(parts: readonly string[]): boolean {
    const atMs = this.now();
    const suspected = parts.filter((part) =>
      this.lost.hasRunSince(part, this.harmlessAt(part)),
    );
    for (const part of parts) this.setHarmless(part, atMs);
    for (const part of suspected) this.publish(part, atMs);
    if (suspected.length > 0) this.currentAnalysis = undefined;
    return suspected.length > 0;
  }

  /**
   * Merges the observations of another entry, or of this one before a restart.
   * Returns whether the other entries should learn what this one knows of them.
   */
  merge({ lostRuns, harmlessParts }: PartRecord, isOwn: boolean): boolean {
    const nowMs = this.now();
    for (const { part, atMs } of harmlessParts) {
      const seenAtMs = Math.min(atMs, nowMs);
      if (isOwn) this.publish(part, seenAtMs);
      const knownAtMs = this.harmlessAt(part);
      if (seenAtMs <= knownAtMs) continue;
      if (this.lost.hasRunSince(part, knownAtMs)) {
        this.currentAnalysis = undefined;
      }
      this.setHarmless(part, seenAtMs);
    }
    const publishedCount = this.publishedAtMs.size;
    const aheadMs = aheadMsOf(lostRuns, nowMs);
    for (const run of lostRuns) this.addRun(movedBack(run, aheadMs), isOwn);
    return this.publishedAtMs.size > publishedCount;
  }

  /** What this entry publishes. */
  ownRecord(): PartRecord {
    const own = this.lost.all.filter((run) => run.isOwn && this.isTelling(run));
    const runs = this.mostImportant(own, MAXIMUM_RECORD_RUNS);
    return {
      lostRuns: runs.map(toLostRun),
      harmlessParts: this.publishedParts(),
    };
  }

  private get analysis(): CrashAnalysis {
    this.expire();
    this.currentAnalysis ??= CrashAnalysis.create(this.lost.all, (part) =>
      this.harmlessAt(part),
    );
    return this.currentAnalysis;
  }

  private setHarmless(part: string, atMs: number): void {
    setNewest(this.harmlessAtMs, part, atMs, MAXIMUM_HARMLESS_PARTS);
  }

  /**
   * Also publishes which parts of the run were harmless before: entries that
   * have just started don't know.
   */
  private addRun(run: LostPromptRun, isOwn: boolean): void {
    if (!this.lost.add(run, isOwn)) return;
    this.currentAnalysis = undefined;
    for (const part of [...run.parts, run.request]) {
      const atMs = this.harmlessAtMs.get(part);
      if (atMs === undefined || this.publishedAtMs.has(part)) continue;
      this.publish(part, atMs);
    }
    if (this.lost.all.length <= MAXIMUM_RUNS) return;
    this.lost.retain(this.mostImportant(this.lost.all, MAXIMUM_RUNS / 2));
  }

  private publish(part: string, atMs: number): void {
    setNewest(this.publishedAtMs, part, atMs);
  }

  /** The newest, but before them those because of which requests are withheld. */
  private mostImportant(
    runs: readonly KnownPromptRun[],
    count: number,
  ): readonly KnownPromptRun[] {
    const isEvidence = (run: KnownPromptRun): boolean =>
      this.isWithheld(run.parts);
    const evidence = runs.filter(isEvidence);
    const others = runs.filter((run) => !isEvidence(run));
    return [...others, ...evidence].slice(-count);
  }

  /** Whether a part of the run hasn't been seen to be harmless since. */
  private isTelling({ parts, sentAtMs }: KnownPromptRun): boolean {
    return parts.some((part) => this.harmlessAt(part) <= sentAtMs);
  }

  private publishedParts(): readonly HarmlessPart[] {
    const published = Array.from(this.publishedAtMs, ([part, atMs]) => {
      return { part, atMs };
    });
    return published.slice(-MAXIMUM_RECORD_ITEMS);
  }

  /** Runs because of which requests are withheld, an hour after the last. */
  private currentEvidence(nowMs: number): readonly KnownPromptRun[] {
    return this.analysis.crashingParts.flatMap((set) => {
      const runs = this.lost.all.filter(({ parts }) =>
        set.every((part) => parts.includes(part)),
      );
      const lastMs = Math.max(...runs.map(({ lostAtMs }) => lostAtMs));
      return nowMs - lastMs < WITHHOLD_DURATION_MS ? runs : [];
    });
  }

  private expire(): void {
    const nowMs = this.now();
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    const evidence = new Set(this.currentEvidence(nowMs));
    const kept = this.lost.all.filter(
      (run) => nowMs - run.lostAtMs < RUN_RETENTION_MS || evidence.has(run),
    );
    if (kept.length === this.lost.all.length) return;
    this.lost.retain(kept);
    this.currentAnalysis = undefined;
    const digests = new Set(kept.flatMap((run) => [...run.parts, run.request]));
    for (const digest of this.publishedAtMs.keys()) {
      if (!digests.has(digest)) this.publishedAtMs.delete(digest);
    }
  }
}

function toLostRun({
  runner,
  sentAtMs,
  lostAtMs,
  request,
  parts,
}: KnownPromptRun): LostPromptRun {
  return { runner, sentAtMs, lostAtMs, request, parts };
}
