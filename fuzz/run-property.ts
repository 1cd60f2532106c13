/** Runs histories of commands under fast-check and reports as targets do. */
import fc from "fast-check";
import {
  checkParameters,
  type FuzzResult,
  type FuzzSettings,
} from "./target.js";

const PROGRESS_EVERY = 10_000;

/** `violationsOf` runs one history; what it throws is a violation as well. */
export function runHistories<C>(
  settings: FuzzSettings,
  history: fc.Arbitrary<C[]>,
  violationsOf: (commands: readonly C[]) => readonly string[],
): FuzzResult {
  let histories = 0;
  let commands = 0;
  const property = fc.property(history, (steps) => {
    histories += 1;
    commands += steps.length;
    if (histories % PROGRESS_EVERY === 0) settings.onProgress?.(histories);
    const violations = violationsOf(steps);
    if (violations.length > 0) throw new Error(violations.join("; "));
  });
  const details = fc.check(property, checkParameters<[C[]]>(settings));
  const steps = details.counterexample?.[0] ?? [];
  const { errorInstance } = details;
  const reason = errorInstance instanceof Error ? errorInstance.message : "";
  return {
    histories,
    commands,
    violations: details.failed ? 1 : 0,
    counterexample: details.failed
      ? [...steps.map((step) => JSON.stringify(step)), reason]
      : [],
    path: details.counterexamplePath ?? "",
  };
}
