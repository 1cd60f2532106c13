/** What callers got out of a run. */
import type { Outcome } from "./entries.js";
import { PREFILL_MS_PER_TOKEN, STEP_MS, type Site } from "./site.js";
import { fairnessIndex, percentile, round } from "./summary.js";
import type { Call } from "./workload.js";

export interface AdmissionResult {
  /** Slot time of answers in time against what the runners could give. */
  readonly goodput: number;
  /** Calls of the first priority that were answered in time. */
  readonly firstPriority: number;
  /** Least of any account's part of its max-min fair share. */
  readonly leastShare: number;
  readonly fairness: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  /** Part of the refusals that came within 50 ms. */
  readonly refusedAtOnce: number;
  readonly refusalP50: number;
  readonly refusalP99: number;
  /** Attempts that reached an agent for each call of a client. */
  readonly amplification: number;
}

const AT_ONCE_MS = 50;

export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Judges the calls whose deadline passed within the span. */
export function judge(
  outcomes: readonly Outcome[],
  calls: readonly Call[],
  site: Site,
  { fromMs, toMs }: Span,
): AdmissionResult {
  const counts = ({ atMs, deadlineMs }: Call): boolean =>
    atMs >= fromMs && atMs + deadlineMs <= toMs;
  const judged = outcomes.filter(({ call }) => counts(call));
  const of = (kind: Outcome["kind"]): readonly Outcome[] =>
    judged.filter((outcome) => outcome.kind === kind);
  const answered = of("answered");
  const firstTokens = [...answered, ...of("late")].map((o) => o.firstTokenMs);
  const refusals = of("refused").map(({ durationMs }) => durationMs);
  const shares = fairShares(answered, calls.filter(counts));
  return {
    goodput: round(goodput(outcomes, site, { fromMs, toMs }), 3),
    firstPriority: round(firstPriority(answered, calls.filter(counts)), 4),
    leastShare: round(Math.min(...shares), 3),
    fairness: round(fairnessIndex(shares), 3),
    inTime: answered.length,
    late: of("late").length,
    refused: refusals.length,
    failed: of("failed").length,
    firstTokenP50: round(percentile(firstTokens, 0.5)),
    firstTokenP95: round(percentile(firstTokens, 0.95)),
    firstTokenP99: round(percentile(firstTokens, 0.99)),
    refusedAtOnce: round(partWithin(refusals, AT_ONCE_MS), 3),
    refusalP50: round(percentile(refusals, 0.5)),
    refusalP99: round(percentile(refusals, 0.99)),
    amplification: round(site.attempts / calls.length, 3),
  };
}

function partWithin(values: readonly number[], limit: number): number {
  if (values.length === 0) return 1;
  return values.filter((value) => value <= limit).length / values.length;
}

function slotMs({ promptTokens, outputTokens }: Call): number {
  return promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * STEP_MS;
}

function tokens({ promptTokens, outputTokens }: Call): number {
  return promptTokens + outputTokens;
}

/** By the time at which the answers ended. */
function goodput(
  outcomes: readonly Outcome[],
  site: Site,
  { fromMs, toMs }: Span,
): number {
  const done = outcomes.filter(({ kind, call, durationMs }) => {
    const endMs = call.atMs + durationMs;
    return kind === "answered" && endMs >= fromMs && endMs <= toMs;
  });
  const served = done.reduce((sum, { call }) => sum + slotMs(call), 0);
  const share = (toMs - fromMs) / toMs;
  return served / (site.capacityMs * share);
}

function firstPriority(
  answered: readonly Outcome[],
  calls: readonly Call[],
): number {
  const isFirst = ({ priority }: Call): boolean => priority === 0;
  const asked = calls.filter(isFirst).length;
  const served = answered.filter(({ call }) => isFirst(call)).length;
  return asked === 0 ? 1 : served / asked;
}

/** Each account's tokens in time against its max-min share of all of them. */
function fairShares(
  answered: readonly Outcome[],
  calls: readonly Call[],
): readonly number[] {
  const asked = new Map<string, number>();
  for (const call of calls) add(asked, call.account, tokens(call));
  const got = new Map<string, number>();
  for (const { call } of answered) add(got, call.account, tokens(call));
  let left = [...got.values()].reduce((sum, value) => sum + value, 0);
  const byDemand = [...asked].sort((a, b) => a[1] - b[1]);
  return byDemand.map(([account, demand], index) => {
    const share = Math.min(demand, left / (byDemand.length - index));
    left -= share;
    return share === 0 ? 0 : (got.get(account) ?? 0) / share;
  });
}

function add(sums: Map<string, number>, key: string, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value);
}
