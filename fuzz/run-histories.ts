/**
 * Runs random command histories under fast-check and reports the result of a
 * fuzz target.
 */
import fc from "fast-check";
import {
  checkParameters,
  type FuzzResult,
  type FuzzSettings,
} from "./target.js";

const PROGRESS_INTERVAL_HISTORIES = 10_000;

/**
 * `violationsOf` runs one history; an error that it throws counts as a
 * violation, too.
 */
export function runHistories<Command>(
  settings: FuzzSettings,
  history: fc.Arbitrary<Command[]>,
  violationsOf: (commands: readonly Command[]) => readonly string[],
): FuzzResult {
  let histories = 0;
  let commands = 0;
  const property = fc.property(history, (steps) => {
    histories += 1;
    commands += steps.length;
    if (histories % PROGRESS_INTERVAL_HISTORIES === 0)
      settings.onProgress?.(histories);
    const violations = violationsOf(steps);
    if (violations.length > 0) throw new Error(violations.join("; "));
  });
  const details = fc.check(property, checkParameters<[Command[]]>(settings));
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
