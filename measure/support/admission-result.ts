/** Results of a simulated run from the callers' point of view. */
import type { Outcome } from "./entries.js";
import { PREFILL_MS_PER_TOKEN, STEP_MS, type Site } from "./site.js";
import { fairnessIndex, percentile, round } from "./summary.js";
import type { Call } from "./workload.js";

export interface AdmissionResult {
  /**
   * Slot time of answers within their deadline, over the available slot time.
   */
  readonly goodput: number;
  /** Fraction of the calls of priority 0 that were answered in time. */
  readonly firstPriority: number;
  /** Smallest ratio of an account's tokens to its max-min fair share. */
  readonly leastShare: number;
  readonly fairness: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Percentiles of the time to the first token, in ms. */
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  /** Fraction of the refusals that came within 50 ms. */
  readonly refusedAtOnce: number;
  /** Percentiles of the time to a refusal, in ms. */
  readonly refusalP50: number;
  readonly refusalP99: number;
  /** Attempts that reached an agent, per generated call. */
  readonly amplification: number;
}

const IMMEDIATE_REFUSAL_MS = 50;

export interface TimeRange {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Evaluates the calls that arrived and whose deadline passed in the range. */
export function evaluateCalls(
  outcomes: readonly Outcome[],
  calls: readonly Call[],
  site: Site,
  { fromMs, toMs }: TimeRange,
): AdmissionResult {
  const isInRange = ({ atMs, deadlineMs }: Call): boolean =>
    atMs >= fromMs && atMs + deadlineMs <= toMs;
  const evaluated = outcomes.filter(({ call }) => isInRange(call));
  const ofKind = (kind: Outcome["kind"]): readonly Outcome[] =>
    evaluated.filter((outcome) => outcome.kind === kind);
  const answered = ofKind("answered");
  const firstTokens = [...answered, ...ofKind("late")].map(
    (outcome) => outcome.firstTokenMs,
  );
  const refusals = ofKind("refused").map(({ durationMs }) => durationMs);
  const shares = fairShares(answered, calls.filter(isInRange));
  return {
    goodput: round(goodput(outcomes, site, { fromMs, toMs }), 3),
    firstPriority: round(firstPriority(answered, calls.filter(isInRange)), 4),
    leastShare: round(Math.min(...shares), 3),
    fairness: round(fairnessIndex(shares), 3),
    inTime: answered.length,
    late: ofKind("late").length,
    refused: refusals.length,
    failed: ofKind("failed").length,
    firstTokenP50: round(percentile(firstTokens, 0.5)),
    firstTokenP95: round(percentile(firstTokens, 0.95)),
    firstTokenP99: round(percentile(firstTokens, 0.99)),
    refusedAtOnce: round(fractionWithin(refusals, IMMEDIATE_REFUSAL_MS), 3),
    refusalP50: round(percentile(refusals, 0.5)),
    refusalP99: round(percentile(refusals, 0.99)),
    amplification: round(site.attempts / calls.length, 3),
  };
}

function fractionWithin(values: readonly number[], limit: number): number {
  if (values.length === 0) return 1;
  return values.filter((value) => value <= limit).length / values.length;
}

function slotMs({ promptTokens, outputTokens }: Call): number {
  return promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * STEP_MS;
}

function totalTokens({ promptTokens, outputTokens }: Call): number {
  return promptTokens + outputTokens;
}

/** Counts an answer in the range in which it ended. */
function goodput(
  outcomes: readonly Outcome[],
  site: Site,
  { fromMs, toMs }: TimeRange,
): number {
  const completed = outcomes.filter(({ kind, call, durationMs }) => {
    const endMs = call.atMs + durationMs;
    return kind === "answered" && endMs >= fromMs && endMs <= toMs;
  });
  const servedMs = completed.reduce((sum, { call }) => sum + slotMs(call), 0);
  const rangeFraction = (toMs - fromMs) / toMs;
  return servedMs / (site.capacityMs * rangeFraction);
}

function firstPriority(
  answered: readonly Outcome[],
  calls: readonly Call[],
): number {
  const isFirst = ({ priority }: Call): boolean => priority === 0;
  const callCount = calls.filter(isFirst).length;
  const answeredCount = answered.filter(({ call }) => isFirst(call)).length;
  return callCount === 0 ? 1 : answeredCount / callCount;
}

/**
 * Ratio of each account's tokens in time to its max-min share of their total.
 */
function fairShares(
  answered: readonly Outcome[],
  calls: readonly Call[],
): readonly number[] {
  const demanded = new Map<string, number>();
  for (const call of calls) add(demanded, call.account, totalTokens(call));
  const received = new Map<string, number>();
  for (const { call } of answered)
    add(received, call.account, totalTokens(call));
  let remaining = [...received.values()].reduce((sum, value) => sum + value, 0);
  const byDemand = [...demanded].sort((a, b) => a[1] - b[1]);
  return byDemand.map(([account, demand], index) => {
    const share = Math.min(demand, remaining / (byDemand.length - index));
    remaining -= share;
    return share === 0 ? 0 : (received.get(account) ?? 0) / share;
  });
}

function add(sums: Map<string, number>, key: string, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value);
}
