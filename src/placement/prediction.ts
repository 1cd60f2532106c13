/**
 * Predicted time of one request at one runner. All terms are milliseconds, so
 * that cache, distance, adapter and load weigh against one another without
 * weights of their own, and a prefix can't draw more work to its holder than
 * the prefill it saves is worth.
 */
import type { Pool } from "./pool.js";
import type { Match } from "./prefix-index.js";
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
  /** Requests that the runner's agent takes at once. */
  readonly limit: number;
}

export interface Prediction {
  /** What choices are compared by. */
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
  matches: readonly Match[],
  inputs: PredictionInputs,
): Prediction {
  const { settings, tuning, limit } = inputs;
  const { slots } = runner.description;
  const slowness = slownessOf(runner, inputs);
  const count = estimateCount(runner, pool, inputs);
  const waitMs = (waitingWork(count, slots, pool) / slots) * slowness;
  const prefill = cheapestPrefill(runner, request, matches, settings);
  const outputMs = request.outputTokens * settings.stepMs;
  const nominalMs = prefill.ms + outputMs;
  const serviceMs = nominalMs * slowness;
  const scoreMs =
    waitMs +
    serviceMs +
    memoryWait(runner, request, serviceMs) +
    (count / slots) * tuning.occupancyMs +
    settings.distanceMs(runner.description.dataCentre) +
    adapterWait(runner, request, settings);
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
 * Requests at the runner: the own ones, known exactly, and those of the other
 * entries. What an old report says of the others is replaced by the mean of
 * the pool, not by zero: a runner that fell silent would look empty and draw
 * all work.
 */
function estimateCount(
  runner: RunnerState,
  pool: Pool,
  { nowMs, tuning }: PredictionInputs,
): number {
  const ageMs = nowMs - runner.reportedAtMs;
  const trust = Math.exp(-ageMs / tuning.reportTrustMs);
  const others = trust * runner.othersCount + (1 - trust) * pool.meanOthers;
  return runner.ownCount + others;
}

/** Work that has to end before a further request gets a slot, in slot ms. */
function waitingWork(count: number, slots: number, pool: Pool): number {
  return Math.max(0, count - slots + 1) * pool.meanWorkMs;
}

/**
 * The group's step time tells of a slow runner before its requests end; the
 * durations of own requests tell of what reports don't show.
 */
function slownessOf(
  runner: RunnerState,
  { nowMs, settings, tuning }: PredictionInputs,
): number {
  const seen = runner.slownessAt(nowMs, tuning.slownessMemoryMs);
  return Math.max(seen, runner.stepMs / settings.stepMs);
}

interface Prefill {
  readonly ms: number;
  readonly cachedTokens: number;
  readonly importFrom: string | undefined;
}

/** From the own cache, by moving another's, or computed afresh. */
function cheapestPrefill(
  runner: RunnerState,
  request: PlacementRequest,
  matches: readonly Match[],
  settings: PlacementSettings,
): Prefill {
  const { blockTokens, prefillMsPerToken, kvTransfer } = settings;
  const prompt = request.promptTokens;
  const own = matches.find((match) => match.runner === runner)?.blocks ?? 0;
  const cachedTokens = Math.min(prompt, own * blockTokens);
  const ms = (prompt - cachedTokens) * prefillMsPerToken;
  const longest = matches.at(0);
  const alone = { ms, cachedTokens, importFrom: undefined };
  if (kvTransfer === undefined || longest === undefined) return alone;
  const moved = Math.min(prompt, longest.blocks * blockTokens) - cachedTokens;
  const saving = moved * prefillMsPerToken;
  const cost = kvTransfer.setupMs + moved * kvTransfer.msPerToken;
  if (cost >= saving) return alone;
  const importFrom = longest.runner.name;
  return { ms: ms - saving + cost, cachedTokens, importFrom };
}

/** A request that doesn't fit into KV memory waits for another to end. */
function memoryWait(
  runner: RunnerState,
  request: PlacementRequest,
  serviceMs: number,
): number {
  const needed = request.promptTokens + request.outputTokens;
  const missing = needed - runner.freeTokens;
  if (missing <= 0) return 0;
  return serviceMs * Math.min(1, missing / needed);
}

function adapterWait(
  runner: RunnerState,
  { adapter }: PlacementRequest,
  settings: PlacementSettings,
): number {
  if (adapter === undefined) return 0;
  if (runner.description.adapters.includes(adapter)) return 0;
  return settings.adapterLoadMs;
}
