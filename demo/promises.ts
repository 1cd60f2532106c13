/**
 * What must hold at the end of the demo and of a long run, judged from the
 * callers' results and from the runners' own records.
 */
import type { CallKind, CallOutcome, CallResult } from "./callers.js";
import type { Site } from "./site.js";

export interface Promised {
  readonly name: string;
  readonly held: boolean;
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

/** How often each marker was started, over all runners. */
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

export function judgeCalls(
  results: readonly CallResult[],
  starts: ReadonlyMap<string, number>,
): Promised[] {
  const wrong = results.filter(({ outcome }) => outcome === "wrong");
  const silent = results.filter(({ outcome }) => outcome === "no-answer");
  const untrue = results.filter(
    ({ outcome, marker }) =>
      outcome === "not-run" && (starts.get(marker) ?? 0) > 0,
  );
  const doubled = results.filter(
    ({ kind, marker }) => kind === "order" && (starts.get(marker) ?? 0) > 1,
  );
  return [
    promised("each answer is whole and the caller's own", wrong),
    promised("every caller gets an answer or a refusal", silent),
    promised("what was refused as not run never started", untrue),
    promised("an order runs once at the most", doubled),
  ];
}

function promised(name: string, failed: readonly CallResult[]): Promised {
  const first = failed.at(0);
  const detail =
    first === undefined
      ? ""
      : `${failed.length} failed, first: ${first.kind} ${first.detail}`;
  return { name, held: failed.length === 0, detail };
}

/** Rows of kind, calls, a column for each outcome, and latency. */
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

export const outcomeHead: readonly string[] = [
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
