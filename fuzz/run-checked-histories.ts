/**
 * Runs random histories under fast-check against an oracle that lists
 * violations.
 */
import fc from "fast-check";
import {
  checkParameters,
  type FuzzResult,
  type FuzzSettings,
} from "./target.js";

const PROGRESS_INTERVAL_HISTORIES = 5_000;

export interface CheckedHistory {
  readonly steps: readonly unknown[];
}

export interface HistoryCheck<H extends CheckedHistory> {
  readonly history: fc.Arbitrary<H>;
  /** Violations found in the history; empty when there are none. */
  readonly check: (history: H) => readonly string[];
  /**
   * First line of a counterexample: inputs other than the steps, such as the
   * seed.
   */
  readonly title: (history: H) => string;
}

export function runCheckedHistories<H extends CheckedHistory>(
  settings: FuzzSettings,
  { history, check, title }: HistoryCheck<H>,
): FuzzResult {
  let histories = 0;
  let commands = 0;
  const property = fc.property(history, (input) => {
    histories += 1;
    commands += input.steps.length;
    if (histories % PROGRESS_INTERVAL_HISTORIES === 0)
      settings.onProgress?.(histories);
    const violations = check(input);
    if (violations.length > 0) throw new TypeError(violations.join("\n"));
  });
  const details = fc.check(property, checkParameters<[H]>(settings));
  const lines = details.counterexample?.flatMap((input) => [
    title(input),
    ...input.steps.map((step) => JSON.stringify(step)),
    ...check(input),
  ]);
  return {
    histories: details.numRuns,
    commands,
    violations: details.failed ? 1 : 0,
    counterexample: lines ?? [],
    path: details.counterexamplePath ?? "",
  };
}
