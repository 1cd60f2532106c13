/**
 * Evaluates how strongly the lost runs of a request suggest that it crashes
 * servers.
 */
import type { CrashedRun } from "./types.js";

/** Reports of one crash by several entries differ by less than this, ms. */
const SAME_CRASH_WINDOW_MS = 1000;

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
    if (run.sentAtMs < lastLostAtMs) continue;
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

export function isSameCrash(one: CrashedRun, other: CrashedRun): boolean {
  const apartMs = Math.abs(one.lostAtMs - other.lostAtMs);
  return one.runner === other.runner && apartMs < SAME_CRASH_WINDOW_MS;
}
