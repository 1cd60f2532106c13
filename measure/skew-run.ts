/**
 * One policy on one trace in virtual time. Reports come one window late. A new
 * map takes effect only after its weights were fetched at the weight store's
 * rate and the ranks agreed on the switch, always at a window's start.
 */
import {
  createEvenMap,
  movesBetween,
  rankTimes,
  refineMap,
  repack,
  skewLowerBound,
  skewOf,
  stepTime,
  countReplicas,
  type ExpertMap,
  type GroupShape,
  type MoveCosts,
  type RankReport,
  type RankState,
} from "../src/internal.js";
import type { Policy } from "./skew-policies.js";
import type { Trace, TraceWindow } from "./traces.js";

export interface RunResult {
  /** Step time over evenly spread step time: mean and 99th percentile. */
  readonly skewMean: number;
  readonly skewP99: number;
  /** Mean over the second half, when starting up is over. */
  readonly skewSettled: number;
  /** Max over mean rank time if ranks only met at the end of a step. */
  readonly wholeStepSkewMean: number;
  readonly moves: number;
  readonly bytes: number;
  readonly switches: number;
  readonly stallSeconds: number;
  readonly plannerMsMean: number;
  readonly plannerMsMax: number;
}

export const WINDOW_SECONDS = 10;
/** From the end of the transfer to the step in which all ranks switch. */
const AGREEMENT_SECONDS = 1;
const START_STEPS = 400;

interface Pending {
  readonly map: ExpertMap;
  readonly moves: number;
  readonly window: number;
}

export function runPolicy(
  shape: GroupShape,
  trace: Trace,
  policy: Policy,
  costs: MoveCosts,
): RunResult {
  let map = startMap(shape, trace);
  let pending: Pending | undefined;
  let previous: { map: ExpertMap; reports: readonly RankReport[] } | undefined;
  const skews: number[] = [];
  const wholeSteps: number[] = [];
  const plannerMs: number[] = [];
  let moves = 0;
  let switches = 0;
  let requestTokens = trace.windows[0].requestTokens;
  trace.windows.forEach((given, index) => {
    if (pending !== undefined && index >= pending.window) {
      map = pending.map;
      moves += pending.moves;
      switches++;
      pending = undefined;
    }
    requestTokens = nextRequests(policy, map, given, requestTokens, index);
    const window = { ...given, requestTokens };
    const times = rankTimes(map, window.tokens, window);
    const time = stepTime(shape, times, window.speeds);
    skews.push(skewOf(time));
    wholeSteps.push(time.slowestWholeStep / time.mean);
    const started = performance.now();
    if (previous !== undefined) policy.observe(previous.map, previous.reports);
    const next = policy.decide(map, pending !== undefined);
    plannerMs.push(performance.now() - started);
    previous = { map, reports: reportsOf(map, window, index) };
    if (next !== undefined) pending = schedule(map, next, index, costs);
  });
  return {
    skewMean: mean(skews),
    skewP99: percentile(skews, 0.99),
    skewSettled: mean(skews.slice(Math.floor(skews.length / 2))),
    wholeStepSkewMean: mean(wholeSteps),
    moves,
    bytes: moves * costs.bytesPerExpert,
    switches,
    stallSeconds: switches * costs.switchSeconds,
    plannerMsMean: mean(plannerMs),
    plannerMsMax: Math.max(...plannerMs),
  };
}

/** Share of the request work that is placed anew in one window. */
const REQUEST_TURNOVER = 0.3;
/** Windows until a policy has seen enough to place requests. */
const FIRST_PLACEMENT = 3;

function nextRequests(
  policy: Policy,
  map: ExpertMap,
  given: TraceWindow,
  before: Float64Array,
  index: number,
): Float64Array {
  const { placeRequests } = policy;
  if (placeRequests === undefined || index < FIRST_PLACEMENT) {
    return given.requestTokens;
  }
  const total = given.requestTokens.reduce((sum, work) => sum + work, 0);
  const wanted = placeRequests(map, total);
  return before.map(
    (work, rank) => work + REQUEST_TURNOVER * (wanted[rank] - work),
  );
}

/** Mean of the lower bound over the windows of a trace. */
export function lowerBoundOf(shape: GroupShape, trace: Trace): number {
  return mean(
    trace.windows.map((window) => skewLowerBound(shape, window.tokens, window)),
  );
}

const SAMPLE_EVERY = 20;
const SAMPLE_REACH = 3;

/**
 * What a map could reach that is refitted for every window at no cost, from
 * the mean of the windows around it: the bound plus packing losses and the
 * noise of a single window. Sampled, as fitting takes long.
 */
export function refittedSkewOf(shape: GroupShape, trace: Trace): number {
  const skews: number[] = [];
  for (let at = 0; at < trace.windows.length; at += SAMPLE_EVERY) {
    const window = trace.windows[at];
    const around = trace.windows.slice(
      Math.max(at - SAMPLE_REACH, 0),
      at + SAMPLE_REACH + 1,
    );
    const tokens = window.tokens.map((_, index) =>
      mean(around.map((near) => near.tokens[index])),
    );
    const map = fitMap(shape, tokens, window);
    const times = rankTimes(map, window.tokens, window);
    skews.push(skewOf(stepTime(shape, times, window.speeds)));
  }
  return mean(skews);
}

function fitMap(
  shape: GroupShape,
  tokens: Float64Array,
  { speeds, requestTokens }: RankState,
): ExpertMap {
  const ranks = { speeds, requestTokens };
  const packed = repack(createEvenMap(shape), tokens, ranks);
  return refineMap(packed, tokens, ranks, START_STEPS);
}

function schedule(
  from: ExpertMap,
  to: ExpertMap,
  window: number,
  costs: MoveCosts,
): Pending {
  const moves = movesBetween(from, to).length;
  const bytes = moves * costs.bytesPerExpert;
  const seconds = bytes / costs.storeBytesPerSecond + AGREEMENT_SECONDS;
  const windows = Math.ceil(seconds / WINDOW_SECONDS);
  return { map: to, moves, window: window + 1 + windows };
}

function startMap(
  shape: GroupShape,
  { startTokens, windows }: Trace,
): ExpertMap {
  return startTokens === undefined
    ? createEvenMap(shape)
    : fitMap(shape, startTokens, windows[0]);
}

/** What each rank reports of a window, as its engine counts it. */
export function reportsOf(
  map: ExpertMap,
  window: TraceWindow,
  index: number,
): readonly RankReport[] {
  const { ranks, layers, slotsPerRank, experts } = map.shape;
  const times = rankTimes(map, window.tokens, window);
  const replicas = Array.from({ length: layers }, (_, layer) =>
    countReplicas(map, layer),
  );
  const reports: RankReport[] = [];
  for (let rank = 0; rank < ranks; rank++) {
    if (window.lostReports.has(rank)) continue;
    const tokens = new Float64Array(layers * slotsPerRank);
    let busySeconds = 0;
    for (let layer = 0; layer < layers; layer++) {
      busySeconds += times[layer * ranks + rank];
      const start = (layer * ranks + rank) * slotsPerRank;
      for (let position = 0; position < slotsPerRank; position++) {
        const expert = map.slots[start + position];
        if (expert < 0) continue;
        tokens[layer * slotsPerRank + position] =
          window.tokens[layer * experts + expert] / replicas[layer][expert];
      }
    }
    const requestTokens = window.requestTokens[rank];
    const mapVersion = map.version;
    reports.push({
      rank,
      window: index,
      mapVersion,
      tokens,
      busySeconds,
      requestTokens,
    });
  }
  return reports;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function percentile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(Math.floor(share * sorted.length), sorted.length - 1)];
}
