/** What the lost runs of one request say against it. */
import type { CrashedRun } from "./types.js";

export interface LostRuns {
  readonly runs: readonly CrashedRun[];
  /** Runs that were sent before don't count, Unix ms. */
  readonly acquittedAtMs: number;
}

export interface Conviction {
  /** How long the runs that count had gone on together, ms. */
  readonly runMs: number;
  /** Loss of the last of them, Unix ms. */
  readonly atMs: number;
}

export const NO_CONVICTION: Conviction = {
  runMs: Number.POSITIVE_INFINITY,
  atMs: Number.POSITIVE_INFINITY,
};

/**
 * The most runs of which none began before the one ahead of it was lost, each at
 * a server that crashed; those from before an acquittal don't count.
 */
export function successiveRuns(suspect: LostRuns): readonly CrashedRun[] {
  const successive: CrashedRun[] = [];
  let lastLostAtMs = suspect.acquittedAtMs;
  const byEnd = suspect.runs.toSorted(
    (one, other) => one.lostAtMs - other.lostAtMs,
  );
  for (const run of byEnd) {
    if (run.sentAtMs < lastLostAtMs) continue;
    successive.push(run);
    lastLostAtMs = run.lostAtMs;
  }
  return successive;
}

/** By the first `crashes` of its successive runs; there are as many. */
export function convictionOf(suspect: LostRuns, crashes: number): Conviction {
  const runs = successiveRuns(suspect).slice(0, crashes);
  const runMs = runs.reduce(
    (sumMs, { sentAtMs, lostAtMs }) => sumMs + lostAtMs - sentAtMs,
    0,
  );
  return { runMs, atMs: runs.at(-1)?.lostAtMs ?? Number.POSITIVE_INFINITY };
}

/**
 * What crashes a server does so when it begins to run, so the runs that were lost
 * soonest after they were sent explain crashes best; among equals, the first found.
 */
export function explainsBetter(one: Conviction, other: Conviction): boolean {
  if (one.runMs !== other.runMs) return one.runMs < other.runMs;
  return one.atMs < other.atMs;
}
