/** Interface of fuzz targets, as used by main.ts and the tests. */
import {
  interruptAfterTimeLimit,
  type Parameters as CheckParameters,
} from "fast-check";

export interface FuzzSettings {
  readonly seed: number;
  readonly runs: number;
  /**
   * Name of a safeguard to disable, to show that the oracle detects its
   * absence.
   */
  readonly mutation?: string;
  /** Time limit of the run; the histories up to then count. */
  readonly stopAfterMs?: number;
  /** Called at intervals with the number of histories run. */
  readonly onProgress?: (histories: number) => void;
}

export interface FuzzResult {
  readonly histories: number;
  readonly commands: number;
  readonly violations: number;
  /**
   * Shrunk history of the violation, one step per line; empty when there is
   * none.
   */
  readonly counterexample: readonly string[];
  /** Replay path of the violation for fast-check. */
  readonly path: string;
}

export interface FuzzTarget {
  readonly name: string;
  /**
   * Number of histories within which a violation must be found, by the name of
   * the disabled safeguard.
   */
  readonly mutations: Readonly<Record<string, number>>;
  readonly run: (settings: FuzzSettings) => Promise<FuzzResult>;
}

/** Converts the settings to fast-check parameters. */
export function checkParameters<T>(settings: FuzzSettings): CheckParameters<T> {
  const { seed, runs, stopAfterMs } = settings;
  if (stopAfterMs === undefined) return { seed, numRuns: runs };
  const plugins = [interruptAfterTimeLimit(stopAfterMs)];
  return { seed, numRuns: runs, plugins };
}
