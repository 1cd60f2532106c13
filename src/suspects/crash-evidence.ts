/**
 * Evaluates how strongly the lost runs of a request suggest that it crashes
 * servers.
 */
import type { CrashedRun } from "./types.js";

/**
 * Reports of one crash by several entries differ by less than this, and servers
 * that crash of one cause by no more, ms.
 */
export const MAXIMUM_SAME_TIME_MS = 1000;

/** Servers that may crash by chance beside those of a suspect. */
const MAXIMUM_OTHER_SERVERS = 2;
/** The same as a share of all. */
const MAXIMUM_SHARE_OF_OTHER_SERVERS = 0.25;

/**
 * Crashes, one after the other, after which a request or a part is withheld that
 * was harmless before: a release of the servers may have changed that.
 */
export const CRASHES_IF_ONCE_HARMLESS = 4;

export interface LostRunHistory {
  readonly runs: readonly CrashedRun[];
  /** Runs that were sent before this time don't count, Unix ms. */
  readonly acquittedAtMs: number;
}

export interface CrashEvidence {
  /** Total duration of the runs that count, ms. */
  readonly runMs: number;
  /** When the last of them was lost, Unix ms. */
  readonly atMs: number;
}

export const NO_EVIDENCE: CrashEvidence = {
  runMs: Number.POSITIVE_INFINITY,
  atMs: Number.POSITIVE_INFINITY,
};

/**
 * The lost runs that count: each was sent after the one before it was lost, and
 * none before the acquittal. Chosen greedily by time of loss, which gives the
 * longest such sequence.
 */
export function successiveRuns(suspect: LostRunHistory): readonly CrashedRun[] {
  const successive: CrashedRun[] = [];
  let lastLostAtMs = suspect.acquittedAtMs;
  const byLossTime = suspect.runs.toSorted(
    (one, other) => one.lostAtMs - other.lostAtMs,
  );
  for (const run of byLossTime) {
    // A run that was lost as it was sent shows nothing.
    const isEmpty = run.sentAtMs >= run.lostAtMs;
    if (isEmpty || run.sentAtMs < lastLostAtMs) continue;
    successive.push(run);
    lastLostAtMs = run.lostAtMs;
  }
  return successive;
}

/**
 * Evidence of the first `crashes` successive runs; there must be at least that
 * many.
 */
export function crashEvidenceOf(
  suspect: LostRunHistory,
  crashes: number,
): CrashEvidence {
  const runs = successiveRuns(suspect).slice(0, crashes);
  const runMs = runs.reduce(
    (sumMs, { sentAtMs, lostAtMs }) => sumMs + lostAtMs - sentAtMs,
    0,
  );
  return { runMs, atMs: runs.at(-1)?.lostAtMs ?? Number.POSITIVE_INFINITY };
}

/**
 * A request that crashes a server does so when it begins to run, so the
 * shortest runs are the strongest evidence; among equal durations, the
 * earliest.
 */
export function isStrongerEvidence(
  one: CrashEvidence,
  other: CrashEvidence,
): boolean {
  if (one.runMs !== other.runMs) return one.runMs < other.runMs;
  return one.atMs < other.atMs;
}

export function isSameTime(oneMs: number, otherMs: number): boolean {
  return Math.abs(oneMs - otherMs) < MAXIMUM_SAME_TIME_MS;
}

export function isSameCrash(one: CrashedRun, other: CrashedRun): boolean {
  return (
    one.runner === other.runner && isSameTime(one.lostAtMs, other.lostAtMs)
  );
}

/**
 * Whether a suspect that ran on `own` of `all` servers that crashed at about the
 * same time can be their cause. When a rack fails, popular requests run on some
 * of its servers; and a server may crash by chance beside those of the suspect.
 */
export function canBeCause(own: number, all: number): boolean {
  const others = all - own;
  return (
    others <=
    Math.max(MAXIMUM_OTHER_SERVERS, all * MAXIMUM_SHARE_OF_OTHER_SERVERS)
  );
}

/**
 * Time by which the clock of these runs' writer is ahead at least, ms. Moved back
 * by it, they keep their order and don't extend the time for which they count.
 */
export function aheadMsOf(runs: readonly CrashedRun[], nowMs: number): number {
  return Math.max(0, ...runs.map(({ lostAtMs }) => lostAtMs - nowMs));
}

export function movedBack<Run extends CrashedRun>(run: Run, byMs: number): Run {
  const { sentAtMs, lostAtMs } = run;
  return { ...run, sentAtMs: sentAtMs - byMs, lostAtMs: lostAtMs - byMs };
}
