/**
 * Checks at the end of a demo or soak run, based on the callers' results and
 * the runners' own records.
 */
import type { CallKind, CallOutcome, CallResult } from "./callers.js";
import type { Site } from "./site.js";

export interface CheckResult {
  readonly name: string;
  readonly hasPassed: boolean;
  readonly detail: string;
}

const outcomes: readonly CallOutcome[] = [
  "answered",
  "not-run",
  "unknown",
  "broken-off",
  "no-answer",
  "wrong",
];

const kinds: readonly CallKind[] = ["stream", "whole", "records", "order"];

/** Number of runs started per marker, over all runners and services. */
export function startsByMarker(site: Site): ReadonlyMap<string, number> {
  const starts = new Map<string, number>();
  const count = (marker: string): void => {
    starts.set(marker, (starts.get(marker) ?? 0) + 1);
  };
  for (const { engine } of site.runners) {
    for (const { prompt } of engine.runs.runs.values()) count(prompt);
  }
  for (const { service } of site.services) service.bodies.forEach(count);
  return starts;
}

export function checkCalls(
  results: readonly CallResult[],
  starts: ReadonlyMap<string, number>,
): CheckResult[] {
  const wrong = results.filter(({ outcome }) => outcome === "wrong");
  const unanswered = results.filter(({ outcome }) => outcome === "no-answer");
  const refusedButStarted = results.filter(
    ({ outcome, marker }) =>
      outcome === "not-run" && (starts.get(marker) ?? 0) > 0,
  );
  const executedTwice = results.filter(
    ({ kind, marker }) => kind === "order" && (starts.get(marker) ?? 0) > 1,
  );
  return [
    createCheckResult(
      "each answer is complete and belongs to its caller",
      wrong,
    ),
    createCheckResult(
      "every caller gets an answer or an error response",
      unanswered,
    ),
    createCheckResult(
      "a call that was refused as not run never started",
      refusedButStarted,
    ),
    createCheckResult("an order runs at most once", executedTwice),
  ];
}

function createCheckResult(
  name: string,
  failed: readonly CallResult[],
): CheckResult {
  const first = failed.at(0);
  const detail =
    first === undefined
      ? ""
      : `${failed.length} failed, first: ${first.kind} ${first.detail}`;
  return { name, hasPassed: failed.length === 0, detail };
}

/** Table rows: kind, number of calls, count per outcome, p95 latencies. */
export function outcomeRows(results: readonly CallResult[]): string[][] {
  return kinds.map((kind) => {
    const calls = results.filter((result) => result.kind === kind);
    const counts = outcomes.map((outcome) =>
      String(calls.filter((result) => result.outcome === outcome).length),
    );
    const first = percentile(
      calls.map(({ firstByteMs }) => firstByteMs),
      0.95,
    );
    const whole = percentile(
      calls.map(({ durationMs }) => durationMs),
      0.95,
    );
    return [kind, String(calls.length), ...counts, first, whole];
  });
}

export const outcomeHeader: readonly string[] = [
  "calls of",
  "number",
  ...outcomes,
  "first byte p95 ms",
  "whole p95 ms",
];

function percentile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return (sorted.at(index) ?? 0).toFixed(0);
}
