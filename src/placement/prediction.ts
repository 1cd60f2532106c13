/**
 * Predicts how long a request takes at a runner. All terms are in milliseconds,
 * so cache hits, distance, adapters and load can be added without weights, and
 * a cached prefix attracts no more requests than its saved prefill is worth.
 */
import type { Pool } from "./pool.js";
import type { PrefixMatch } from "./prefix-index.js";
import type { RunnerState } from "./runner.js";
import type {
  PlacementRequest,
  PlacementSettings,
  PlacementTuning,
} from "./types.js";

export interface PredictionInputs {
  readonly nowMs: number;
  readonly settings: PlacementSettings;
  readonly tuning: PlacementTuning;
  /** Maximum number of requests that the runner's agent accepts. */
  readonly limit: number;
}

export interface Prediction {
  /** Predicted total time and penalties; the lowest score is chosen. */
  readonly scoreMs: number;
  readonly waitMs: number;
  readonly nominalMs: number;
  readonly serviceMs: number;
  readonly cachedTokens: number;
  readonly importFrom: string | undefined;
  readonly hasRoom: boolean;
}

export function predict(
  runner: RunnerState,
  request: PlacementRequest,
  pool: Pool,
  matches: readonly PrefixMatch[],
  inputs: PredictionInputs,
): Prediction {
  const { settings, tuning, limit } = inputs;
  const { slots } = runner.description;
  const slowness = slownessOf(runner, inputs);
  const count = estimateCount(runner, pool, inputs);
  const waitMs = (queuedWorkMs(count, slots, pool) / slots) * slowness;
  const prefill = cheapestPrefill(runner, request, matches, settings);
  const outputMs = request.outputTokens * settings.stepMs;
  const nominalMs = prefill.ms + outputMs;
  const serviceMs = nominalMs * slowness;
  const scoreMs =
    waitMs +
    serviceMs +
    memoryWaitMs(runner, request, serviceMs) +
    (count / slots) * tuning.occupancyPenaltyMs +
    settings.distanceMs(runner.description.dataCentre) +
    adapterWaitMs(runner, request, settings);
  const hasRoom = count < limit;
  const { cachedTokens, importFrom } = prefill;
  return {
    scoreMs,
    waitMs,
    nominalMs,
    serviceMs,
    cachedTokens,
    importFrom,
    hasRoom,
  };
}

/**
 * Estimated number of requests at the runner: the exact number from this entry,
 * plus those from other entries. As a report ages, the estimate for the others
 * moves to the mean of the pool. If it moved to zero, a runner that stopped
 * reporting would look idle and attract all requests.
 */
function estimateCount(
  runner: RunnerState,
  pool: Pool,
  { nowMs, tuning }: PredictionInputs,
): number {
  const ageMs = nowMs - runner.reportedAtMs;
  const reportWeight = Math.exp(-ageMs / tuning.reportDecayMs);
  const others =
    reportWeight * runner.othersCount +
    (1 - reportWeight) * pool.meanOthersCount;
  return runner.ownCount + others;
}

/** Work that has to end before a new request gets a slot, in ms of one slot. */
function queuedWorkMs(count: number, slots: number, pool: Pool): number {
  return Math.max(0, count - slots + 1) * pool.meanWorkMs;
}

/**
 * The larger of two measures: the reported step time shows a slow runner before
 * its requests end, and the durations of this entry's own requests show what
 * reports don't cover.
 */
function slownessOf(
  runner: RunnerState,
  { nowMs, settings, tuning }: PredictionInputs,
): number {
  const observedSlowness = runner.slownessAt(nowMs, tuning.slownessDecayMs);
  return Math.max(observedSlowness, runner.stepMs / settings.stepMs);
}

interface Prefill {
  readonly ms: number;
  readonly cachedTokens: number;
  readonly importFrom: string | undefined;
}

/**
 * Prefill with the runner's own cache, or with a longer prefix transferred from
 * another runner's cache where that is faster.
 */
function cheapestPrefill(
  runner: RunnerState,
  request: PlacementRequest,
  matches: readonly PrefixMatch[],
  settings: PlacementSettings,
): Prefill {
  const { blockTokens, prefillMsPerToken, kvTransfer } = settings;
  const promptTokens = request.promptTokens;
  const ownBlocks =
    matches.find((match) => match.runner === runner)?.blocks ?? 0;
  const cachedTokens = Math.min(promptTokens, ownBlocks * blockTokens);
  const ms = (promptTokens - cachedTokens) * prefillMsPerToken;
  const longest = matches.at(0);
  const withoutTransfer = { ms, cachedTokens, importFrom: undefined };
  if (kvTransfer === undefined || longest === undefined) return withoutTransfer;
  const transferredTokens =
    Math.min(promptTokens, longest.blocks * blockTokens) - cachedTokens;
  const savedMs = transferredTokens * prefillMsPerToken;
  const transferMs =
    kvTransfer.setupMs + transferredTokens * kvTransfer.msPerToken;
  if (transferMs >= savedMs) return withoutTransfer;
  const importFrom = longest.runner.name;
  return { ms: ms - savedMs + transferMs, cachedTokens, importFrom };
}

/** A request that doesn't fit into the KV cache waits for another to end. */
function memoryWaitMs(
  runner: RunnerState,
  request: PlacementRequest,
  serviceMs: number,
): number {
  const neededTokens = request.promptTokens + request.outputTokens;
  const missingTokens = neededTokens - runner.freeTokens;
  if (missingTokens <= 0) return 0;
  return serviceMs * Math.min(1, missingTokens / neededTokens);
}

function adapterWaitMs(
  runner: RunnerState,
  { adapter }: PlacementRequest,
  settings: PlacementSettings,
): number {
  if (adapter === undefined) return 0;
  if (runner.description.adapters.includes(adapter)) return 0;
  return settings.adapterLoadMs;
}
