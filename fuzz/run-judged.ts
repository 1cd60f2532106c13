/** Runs histories of steps against a judge that lists what went wrong. */
import fc from "fast-check";
import {
  checkParameters,
  type FuzzResult,
  type FuzzSettings,
} from "./target.js";

const PROGRESS_EVERY = 5_000;

export interface JudgedHistory {
  readonly steps: readonly unknown[];
}

export interface JudgedRun<H extends JudgedHistory> {
  readonly history: fc.Arbitrary<H>;
  /** Empty when nothing went wrong. */
  readonly judge: (history: H) => readonly string[];
  /** First line of a counterexample: all that the steps don't tell. */
  readonly title: (history: H) => string;
}

export function runJudged<H extends JudgedHistory>(
  settings: FuzzSettings,
  { history, judge, title }: JudgedRun<H>,
): FuzzResult {
  let histories = 0;
  let commands = 0;
  const property = fc.property(history, (input) => {
    histories += 1;
    commands += input.steps.length;
    if (histories % PROGRESS_EVERY === 0) settings.onProgress?.(histories);
    const found = judge(input);
    if (found.length > 0) throw new TypeError(found.join("\n"));
  });
  const details = fc.check(property, checkParameters<[H]>(settings));
  const lines = details.counterexample?.flatMap((input) => [
    title(input),
    ...input.steps.map((step) => JSON.stringify(step)),
    ...judge(input),
  ]);
  return {
    histories: details.numRuns,
    commands,
    violations: details.failed ? 1 : 0,
    counterexample: lines ?? [],
    path: details.counterexamplePath ?? "",
  };
}
