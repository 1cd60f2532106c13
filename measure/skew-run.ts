/**
 * Simulates one policy on one trace, window by window. Reports arrive one
 * window late. A new map takes effect at the start of a window, once its
 * weights were fetched at the weight store's rate and the ranks agreed on the
 * switch.
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
import { rankStateOf } from "./traces.js";

export interface RunResult {
  /** Step time over that of perfectly even load: mean and 99th percentile. */
  readonly skewMean: number;
  readonly skewP99: number;
  /** Mean over the second half of the trace, which excludes the start-up. */
  readonly skewSettled: number;
  /** Slowest over mean rank time if ranks synchronised only once a step. */
  readonly wholeStepSkewMean: number;
  readonly moves: number;
  readonly bytes: number;
  readonly switches: number;
  readonly stallSeconds: number;
  readonly plannerMsMean: number;
  readonly plannerMsMax: number;
}

export const WINDOW_SECONDS = 10;
/** Time from the end of the transfer to the step in which all ranks switch. */
const SWITCH_AGREEMENT_SECONDS = 1;
const INITIAL_REFINE_STEPS = 400;

interface PendingSwitch {
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
  let map = initialMap(shape, trace);
  let pending: PendingSwitch | undefined;
  let previous: { map: ExpertMap; reports: readonly RankReport[] } | undefined;
  const skews: number[] = [];
  const wholeSteps: number[] = [];
  const plannerMs: number[] = [];
  let moves = 0;
  let switches = 0;
  let requestTokens = trace.windows[0].requestTokens;
  trace.windows.forEach((traceWindow, index) => {
    if (pending !== undefined && index >= pending.window) {
      map = pending.map;
      moves += pending.moves;
      switches++;
      pending = undefined;
    }
    requestTokens = nextRequestTokens(
      policy,
      map,
      traceWindow,
      requestTokens,
      index,
    );
    const window = { ...traceWindow, requestTokens };
    const times = rankTimes(map, window.tokens, rankStateOf(window));
    const time = stepTime(shape, times, window.speeds);
    skews.push(skewOf(time));
    wholeSteps.push(time.slowestWholeStep / time.mean);
    const startedAtMs = performance.now();
    if (previous !== undefined) policy.observe(previous.map, previous.reports);
    const next = policy.decide(map, pending !== undefined);
    plannerMs.push(performance.now() - startedAtMs);
    previous = { map, reports: reportsOf(map, window, index) };
    if (next !== undefined) pending = scheduleSwitch(map, next, index, costs);
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

/** Part of the request work that ends and is placed anew in one window. */
const REQUEST_TURNOVER = 0.3;
/** Windows that a policy observes before it places requests. */
const WARM_UP_WINDOWS = 3;

function nextRequestTokens(
  policy: Policy,
  map: ExpertMap,
  traceWindow: TraceWindow,
  previous: Float64Array,
  index: number,
): Float64Array {
  const { placeRequests } = policy;
  if (placeRequests === undefined || index < WARM_UP_WINDOWS) {
    return traceWindow.requestTokens;
  }
  const total = traceWindow.requestTokens.reduce((sum, work) => sum + work, 0);
  const target = placeRequests(map, total);
  return previous.map(
    (work, rank) => work + REQUEST_TURNOVER * (target[rank] - work),
  );
}

/** Mean of the lower bound over the windows of a trace. */
export function lowerBoundOf(shape: GroupShape, trace: Trace): number {
  return mean(
    trace.windows.map((window) =>
      skewLowerBound(shape, window.tokens, rankStateOf(window)),
    ),
  );
}

const SAMPLE_INTERVAL_WINDOWS = 20;
const SAMPLE_RADIUS_WINDOWS = 3;

/**
 * Skew of a map that is refitted for each window at no cost, to the mean of the
 * windows around it. It exceeds the lower bound by packing losses and the noise
 * of a single window. Only every 20th window is sampled, as fitting is slow.
 */
export function refittedSkewOf(shape: GroupShape, trace: Trace): number {
  const skews: number[] = [];
  for (
    let index = 0;
    index < trace.windows.length;
    index += SAMPLE_INTERVAL_WINDOWS
  ) {
    const window = trace.windows[index];
    const neighbours = trace.windows.slice(
      Math.max(index - SAMPLE_RADIUS_WINDOWS, 0),
      index + SAMPLE_RADIUS_WINDOWS + 1,
    );
    const tokens = window.tokens.map((_, position) =>
      mean(neighbours.map((neighbour) => neighbour.tokens[position])),
    );
    const map = fitMap(shape, tokens, rankStateOf(window));
    const times = rankTimes(map, window.tokens, rankStateOf(window));
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
  return refineMap(packed, tokens, ranks, INITIAL_REFINE_STEPS);
}

function scheduleSwitch(
  from: ExpertMap,
  to: ExpertMap,
  window: number,
  costs: MoveCosts,
): PendingSwitch {
  const moves = movesBetween(from, to).length;
  const bytes = moves * costs.bytesPerExpert;
  const seconds = bytes / costs.storeBytesPerSecond + SWITCH_AGREEMENT_SECONDS;
  const windows = Math.ceil(seconds / WINDOW_SECONDS);
  return { map: to, moves, window: window + 1 + windows };
}

function initialMap(
  shape: GroupShape,
  { startTokens, windows }: Trace,
): ExpertMap {
  return startTokens === undefined
    ? createEvenMap(shape)
    : fitMap(shape, startTokens, rankStateOf(windows[0]));
}

/** The reports of a window that the ranks' engines would send. */
export function reportsOf(
  map: ExpertMap,
  window: TraceWindow,
  index: number,
): readonly RankReport[] {
  const { ranks, layers, slotsPerRank, experts } = map.shape;
  const times = rankTimes(map, window.tokens, rankStateOf(window));
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
