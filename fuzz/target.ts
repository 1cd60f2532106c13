/** What a fuzz target offers to the runner in main.ts and to the tests. */
import {
  interruptAfterTimeLimit,
  type Parameters as CheckParameters,
} from "fast-check";

export interface FuzzSettings {
  readonly seed: number;
  readonly runs: number;
  /** Name of a safeguard to switch off, to show that the check can fail. */
  readonly mutation?: string;
  /** Stops the run early; the histories so far count. */
  readonly stopAfterMs?: number;
  /** Called now and then with the number of histories run. */
  readonly onProgress?: (histories: number) => void;
}

export interface FuzzResult {
  readonly histories: number;
  readonly commands: number;
  readonly violations: number;
  /** Shrunk history of the violation, one step a line; empty when none. */
  readonly counterexample: readonly string[];
  /** Replay path of fast-check for the violation. */
  readonly path: string;
}

export interface FuzzTarget {
  readonly name: string;
  /** Safeguard name to the histories within which it must be caught. */
  readonly mutations: Readonly<Record<string, number>>;
  readonly run: (settings: FuzzSettings) => Promise<FuzzResult>;
}

/** The fast-check parameters that follow from the settings. */
export function checkParameters<T>(settings: FuzzSettings): CheckParameters<T> {
  const { seed, runs, stopAfterMs } = settings;
  if (stopAfterMs === undefined) return { seed, numRuns: runs };
  const plugins = [interruptAfterTimeLimit(stopAfterMs)];
  return { seed, numRuns: runs, plugins };
}
