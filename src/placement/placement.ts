/**
 * Chooses the backend server for each request at one entry, without remote
 * calls. Designed for several thousand requests per second over 820 runners
 * whose load reports are a second old. Each choice compares the runners that
 * have the request's prefix cached with a random sample of the others, by the
 * predicted time to the end of the answer.
 */
import { Left, Right, type Either } from "purify-ts/Either";
import { attemptLimit, failure, type ApricotdeckError } from "../internal.js";
import { DEFAULT_TUNING } from "./defaults.js";
import { Candidates, Pool } from "./pool.js";
import { PrefixIndex, type PrefixMatch } from "./prefix-index.js";
import { RunnerState } from "./runner.js";
import { predict, type Prediction } from "./prediction.js";
import type {
  CacheEvent,
  PlacementChoice,
  PlacedRequest,
  PlacementInputs,
  PlacementRequest,
  PlacementTuning,
  RunnerDescription,
  RunnerLoad,
} from "./types.js";

const NO_MATCHES: readonly PrefixMatch[] = [];

export class Placement {
  private readonly runners = new Map<string, RunnerState>();
  private readonly pools = new Map<string, Pool>();
  private readonly prefixes = PrefixIndex.create();
  private readonly tuning: PlacementTuning;
  private readonly candidates = Candidates.create();

  private constructor(private readonly inputs: PlacementInputs) {
    this.tuning = { ...DEFAULT_TUNING, ...inputs.tuning };
  }

  static create(inputs: PlacementInputs): Placement {
    return new Placement(inputs);
  }

  get prefixCount(): number {
    return this.prefixes.size;
  }

  get ejectedCount(): number {
    let count = 0;
    for (const { health } of this.runners.values()) {
      if (health.isEjected) count += 1;
    }
    return count;
  }

  /** Adds a runner or updates its description. */
  setRunner(description: RunnerDescription): void {
    const existing = this.runners.get(description.runner);
    if (existing !== undefined) this.removeFromPools(existing);
    const state =
      existing ?? RunnerState.create(description, this.inputs.random);
    state.description = description;
    this.runners.set(description.runner, state);
    for (const key of description.pools) this.poolOf(key).add(state);
  }

  /** Excludes a runner that is leaving or gone from further choices. */
  removeRunner(runner: string): void {
    const state = this.runners.get(runner);
    if (state === undefined) return;
    this.removeFromPools(state);
    this.runners.delete(runner);
  }

  choose(request: PlacementRequest): Either<ApricotdeckError, PlacementChoice> {
    const pool = this.pools.get(request.pool);
    if (pool === undefined || pool.size === 0) return noRunnerFailure(request);
    const matches = this.findMatches(request);
    const best =
      this.bestOfSample(request, pool, matches) ??
      this.bestOfAll(request, pool, matches);
    const chosen = best ?? withEarliestProbe(request, pool);
    if (chosen === undefined) return noRunnerFailure(request);
    const prediction = this.predict(chosen, request, pool, matches);
    const hasRoom = best !== undefined && prediction.hasRoom;
    return Right(toChoice(chosen, { ...prediction, hasRoom }));
  }

  /** The request was sent to the chosen runner. */
  onStarted({ request, choice }: PlacedRequest): void {
    const state = this.runners.get(choice.runner);
    if (state === undefined) return;
    state.changeOwnCount(this.inputs.now(), 1);
    state.health.onPlaced();
    this.prefixes.add(state, request.prefix);
    const tokens = request.promptTokens + request.outputTokens;
    this.pools.get(request.pool)?.recordRequest(choice.nominalMs, tokens);
  }

  /**
   * The answer completed, `serviceMs` after the runner had started the request.
   * `cachedTokens` is the cache hit that the engine reports, if it does.
   */
  onEnded(
    placed: PlacedRequest,
    serviceMs: number,
    cachedTokens?: number,
  ): void {
    const state = this.release(placed);
    if (state === undefined) return;
    const { request, choice } = placed;
    if (choice.nominalMs > 0) {
      const ratio = serviceMs / choice.nominalMs;
      const { slownessDecayMs } = this.tuning;
      state.recordSlowness(this.inputs.now(), ratio, slownessDecayMs);
    }
    if (cachedTokens === 0 && choice.cachedTokens > 0) {
      this.prefixes.remove(state, request.prefix);
      this.prefixes.add(state, request.prefix);
    }
    if (state.health.onSucceeded()) {
      this.inputs.emit(152, { runner: state.name });
    }
  }

  /** The attempt failed because of the runner or of the session to it. */
  onFailed(placed: PlacedRequest): void {
    const state = this.release(placed);
    if (state === undefined) return;
    if (!state.health.onFailed(this.inputs.now())) return;
    this.inputs.emit(151, { runner: state.name, pool: placed.request.pool });
  }

  /** The agent refused the request at its limit, which isn't a fault. */
  onRefused(placed: PlacedRequest): void {
    const state = this.release(placed);
    if (state === undefined) return;
    const before = state.othersCount;
    const limit = this.limitOf(state, placed.request.priority);
    state.onFull(this.inputs.now(), limit);
    this.updatePools(state, before);
    state.health.onInconclusive();
  }

  /** The caller disconnected, which doesn't affect the runner's health. */
  onCancelled(placed: PlacedRequest): void {
    this.release(placed)?.health.onInconclusive();
  }

  onReport(runner: string, load: RunnerLoad): void {
    const state = this.runners.get(runner);
    if (state === undefined) return;
    const before = state.othersCount;
    const { now, settings } = this.inputs;
    state.onReport(now(), load, settings.blockTokens);
    this.updatePools(state, before);
  }

  onCacheEvent(event: CacheEvent): void {
    const state = this.runners.get(event.runner);
    if (state !== undefined) this.prefixes.onEvent(state, event);
  }

  private findMatches(request: PlacementRequest): readonly PrefixMatch[] {
    if (request.prefix.length === 0) return NO_MATCHES;
    return this.prefixes.find(request.prefix, this.tuning.maximumHolders);
  }

  private bestOfSample(
    request: PlacementRequest,
    pool: Pool,
    matches: readonly PrefixMatch[],
  ): RunnerState | undefined {
    this.candidates.clear();
    for (const { runner } of matches) {
      if (runner.description.pools.includes(request.pool)) {
        this.candidates.add(runner);
      }
    }
    pool.sample(this.tuning, this.inputs.random, this.candidates);
    return this.best(this.candidates.runners, request, pool, matches);
  }

  /** Searches the whole pool if every sampled runner is ejected or excluded. */
  private bestOfAll(
    request: PlacementRequest,
    pool: Pool,
    matches: readonly PrefixMatch[],
  ): RunnerState | undefined {
    if (pool.size <= this.tuning.fullScanLimit) return undefined;
    return this.best(pool.runners, request, pool, matches);
  }

  private best(
    candidates: readonly RunnerState[],
    request: PlacementRequest,
    pool: Pool,
    matches: readonly PrefixMatch[],
  ): RunnerState | undefined {
    const nowMs = this.inputs.now();
    let best: RunnerState | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      if (!candidate.health.isAvailable(nowMs)) continue;
      if (request.excluded?.includes(candidate.name) === true) continue;
      const { scoreMs } = this.predict(candidate, request, pool, matches);
      if (scoreMs >= bestMs) continue;
      best = candidate;
      bestMs = scoreMs;
    }
    return best;
  }

  private predict(
    state: RunnerState,
    request: PlacementRequest,
    pool: Pool,
    matches: readonly PrefixMatch[],
  ): Prediction {
    return predict(state, request, pool, matches, {
      nowMs: this.inputs.now(),
      settings: this.inputs.settings,
      tuning: this.tuning,
      limit: this.limitOf(state, request.priority),
    });
  }

  private limitOf(state: RunnerState, priority: number): number {
    const { slots } = state.description;
    const { queueShare } = this.inputs.settings;
    return attemptLimit({ slots, queueShare }, priority);
  }

  private release({ choice }: PlacedRequest): RunnerState | undefined {
    const state = this.runners.get(choice.runner);
    state?.changeOwnCount(this.inputs.now(), -1);
    return state;
  }

  private updatePools(state: RunnerState, countBefore: number): void {
    const difference = state.othersCount - countBefore;
    if (difference === 0) return;
    for (const key of state.description.pools) {
      this.poolOf(key).onOthersChanged(difference);
    }
  }

  private removeFromPools(state: RunnerState): void {
    for (const key of state.description.pools) this.poolOf(key).remove(state);
  }

  private poolOf(key: string): Pool {
    const existing = this.pools.get(key);
    if (existing !== undefined) return existing;
    const pool = Pool.create(this.inputs.settings.dataCentre);
    this.pools.set(key, pool);
    return pool;
  }
}

/**
 * Fallback if all runners are ejected: the one with the earliest probe, to be
 * reported as having no room. Requests to a pool that fails as a whole then
 * wait a few seconds for the next probe instead of failing one by one.
 */
function withEarliestProbe(
  request: PlacementRequest,
  pool: Pool,
): RunnerState | undefined {
  let best: RunnerState | undefined;
  for (const runner of pool.runners) {
    if (request.excluded?.includes(runner.name) === true) continue;
    if (best === undefined || runner.health.probeAtMs < best.health.probeAtMs) {
      best = runner;
    }
  }
  return best;
}

function noRunnerFailure(
  request: PlacementRequest,
): Either<ApricotdeckError, never> {
  return Left(failure(1209, { pool: request.pool }));
}

function toChoice(state: RunnerState, prediction: Prediction): PlacementChoice {
  const { waitMs, nominalMs, serviceMs } = prediction;
  const { cachedTokens, importFrom, hasRoom } = prediction;
  return {
    runner: state.name,
    group: state.description.group,
    waitMs,
    nominalMs,
    serviceMs,
    cachedTokens,
    importFrom,
    hasRoom,
  };
}
