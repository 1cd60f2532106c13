/**
 * Admission control of one entry: decides whether a request starts now, waits
 * in a queue, or is refused. Designed for a sustained load of twice the
 * runners' capacity, for bursts of ten times the usual load, and for a single
 * account that floods. A refused request was never started, and its refusal
 * carries a time to retry after.
 */
import { failure, type ErrorNumber } from "../internal.js";
import { AccountLimits } from "./account-limits.js";
import { MinHeap } from "./min-heap.js";
import { PoolQueue } from "./pool-queue.js";
import { RecentRefusals } from "./recent-refusals.js";
import type { ProfileQueue, QueuedRequest } from "./profile-queue.js";
import type {
  AdmissionInputs,
  AdmissionRequest,
  AdmissionTuning,
  RequestCompletion,
  AdmissionDecision,
  WaitingRequests,
} from "./types.js";

/** A retry that comes sooner finds the queue unchanged. */
const MINIMUM_RETRY_AFTER_MS = 100;
/** Predictions of the queue further ahead are too inaccurate to use. */
const MAXIMUM_RETRY_AFTER_MS = 60_000;

/**
 * A queue as long as the deadlines allow has the same throughput as a shorter
 * one, but requests that start close to their deadlines are often cut off.
 */
const DEFAULT_TUNING: AdmissionTuning = { waitShare: 0.25, serviceMargin: 2 };

/**
 * Maximum share of the time from arrival to deadline that the service margin
 * may take. Without this bound, an initial estimate that was too long caused
 * every request of a profile to be refused, so that no answer ever came to
 * correct the estimate.
 */
const MAXIMUM_MARGIN_SHARE = 0.5;

interface PoolState {
  readonly queue: PoolQueue;
  queuedSinceMs: number;
  refused: number;
  readonly refusals: RecentRefusals;
}

export class Admission {
  private readonly pools = new Map<string, PoolState>();
  private readonly waiting = new Map<string, QueuedRequest>();
  private readonly giveUpTimes = MinHeap.create<QueuedRequest>();
  private readonly limits: AccountLimits;
  private readonly tuning: AdmissionTuning;

  private constructor(private readonly inputs: AdmissionInputs) {
    this.tuning = { ...DEFAULT_TUNING, ...inputs.tuning };
    this.limits = AccountLimits.create(inputs.now, inputs.countLiveEntries);
  }

  static create(inputs: AdmissionInputs): Admission {
    return new Admission(inputs);
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Earliest time at which `giveUpExpired` has a request to give up. */
  get nextGiveUpAtMs(): number {
    return this.giveUpTimes.minimumKey;
  }

  offer(request: AdmissionRequest): AdmissionDecision {
    const pool = this.poolOf(request.pool);
    const limitRefusal = this.chargeAccount(request);
    if (limitRefusal !== undefined) return limitRefusal;
    const queue = pool.queue.profileOf(request);
    if (this.tryStart(request, pool, queue)) return { kind: "admitted" };
    const refused = this.checkQueueLimits(request, pool, queue);
    if (refused !== undefined) {
      this.refundAccount(request);
      return refused;
    }
    this.enqueue(request, pool);
    return { kind: "queued" };
  }

  /** Starts waiting requests. Call it when a runner may have capacity again. */
  drain(poolKey: string): void {
    this.giveUpExpired();
    const pool = this.poolOf(poolKey);
    for (;;) {
      const next = pool.queue.nextProfile();
      if (next === undefined) break;
      if (this.tryStartHead(pool, next)) continue;
      // A place may be open to the most urgent requests alone.
      const first = pool.queue.mostUrgentProfile();
      if (first === undefined || first.priority === next.priority) break;
      if (!this.tryStartHead(pool, first)) break;
    }
    this.reportIfEmptied(poolKey, pool);
  }

  /**
   * Waiting requests of the pool by priority, and those that were refused a
   * moment ago, as they would wait if there were room.
   */
  waitingIn(poolKey: string): readonly WaitingRequests[] {
    const pool = this.poolOf(poolKey);
    return pool.refusals.addTo(pool.queue.waitingByPriority());
  }

  /**
   * Gives up waiting requests that have waited too long or can no longer
   * finish before their deadline, so that they don't take up a runner. Call it
   * at `nextGiveUpAtMs`.
   */
  giveUpExpired(): void {
    const nowMs = this.inputs.now();
    while (this.giveUpTimes.minimumKey <= nowMs) {
      const waiting = this.giveUpTimes.pop();
      if (waiting === undefined || waiting.isRemoved) continue;
      const isLate = this.latestStartAtMs(waiting.request) <= nowMs;
      this.refuseWaiting(waiting, isLate ? 1502 : 1503);
    }
  }

  /**
   * Call it when a started request has ended: frees its concurrency slot and
   * replaces the estimated cost by the actual one.
   */
  onEnded(request: AdmissionRequest, ended: RequestCompletion): void {
    const pool = this.poolOf(request.pool);
    pool.queue.onEnded(request, ended.costTokens, ended.durationMs);
    const excess = ended.costTokens - request.costTokens;
    this.limits.adjustCharge(request.account, excess);
    this.drain(request.pool);
  }

  /**
   * Queues a request again, with its original deadline, after the chosen
   * runner's agent refused it or its attempt failed and may be repeated.
   */
  requeue(request: AdmissionRequest): void {
    const pool = this.poolOf(request.pool);
    pool.queue.onEnded(request, 0, undefined);
    const waiting = this.enqueue(request, pool, true);
    if (this.giveUpAtMs(request) > this.inputs.now()) return;
    this.refuseWaiting(waiting, 1502);
  }

  /** Removes a request whose caller disconnected; true if it was waiting. */
  cancel(id: string): boolean {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) return false;
    this.removeWaiting(waiting);
    return true;
  }

  private tryStart(
    request: AdmissionRequest,
    pool: PoolState,
    queue: ProfileQueue,
  ): boolean {
    if (pool.queue.isAnyWaitingUpTo(request.priority)) return false;
    if (queue.running >= queue.concurrency) return false;
    if (!this.inputs.start(request)) return false;
    pool.queue.onStarted(request, queue);
    return true;
  }

  private tryStartHead(pool: PoolState, queue: ProfileQueue): boolean {
    const head = queue.head();
    if (head === undefined) return false;
    const { request } = head.waiting;
    if (!this.inputs.start(request)) return false;
    pool.queue.startHead(queue, request);
    this.waiting.delete(request.id);
    return true;
  }

  /**
   * Refuses a request at once if its predicted wait is too long for its
   * deadline, or if the profile's queue has no space for it.
   */
  private checkQueueLimits(
    request: AdmissionRequest,
    pool: PoolState,
    queue: ProfileQueue,
  ): AdmissionDecision | undefined {
    const nowMs = this.inputs.now();
    const waitMs = pool.queue.predictWaitMs(request);
    const leftMs = this.giveUpAtMs(request) - nowMs;
    const slackMs = leftMs * this.tuning.waitShare;
    if (waitMs >= slackMs) {
      return this.refuse(request, pool, 1502, waitMs - Math.max(0, slackMs));
    }
    const tokens = queue.waitingTokens + request.costTokens;
    if (tokens <= request.queue.maximumTokens) return undefined;
    return this.displaceHeavierAccounts(request, pool, queue, waitMs);
  }

  /**
   * Makes space in a full queue by refusing the newest requests of the account
   * with the most waiting tokens per weight, or refuses the new request if its
   * own account would have at least as many with it. Without this, an account
   * that fills the queue would cause all other accounts to be refused.
   */
  private displaceHeavierAccounts(
    request: AdmissionRequest,
    pool: PoolState,
    queue: ProfileQueue,
    waitMs: number,
  ): AdmissionDecision | undefined {
    const { account, weight, costTokens } = request;
    const ownLoad = queue.loadIncluding(account, weight, costTokens);
    for (;;) {
      const freeTokens = request.queue.maximumTokens - queue.waitingTokens;
      if (freeTokens >= costTokens) return undefined;
      const heaviest = queue.newestOfHeaviest();
      if (heaviest === undefined || heaviest.load <= ownLoad) {
        return this.refuse(request, pool, 1501, waitMs);
      }
      this.refuseWaiting(heaviest.waiting, 1505);
    }
  }

  private enqueue(
    request: AdmissionRequest,
    pool: PoolState,
    atFront = false,
  ): QueuedRequest {
    if (pool.queue.waitingCount === 0) {
      pool.queuedSinceMs = this.inputs.now();
      pool.refused = 0;
      this.inputs.emit(153, { pool: request.pool });
    }
    const account = pool.queue.accountStateOf(request.account);
    const waiting = { request, account, isRemoved: false };
    pool.queue.enqueue(waiting, atFront);
    this.waiting.set(request.id, waiting);
    this.giveUpTimes.push(this.giveUpAtMs(request), waiting);
    return waiting;
  }

  private removeWaiting(waiting: QueuedRequest): void {
    const { request } = waiting;
    this.poolOf(request.pool).queue.remove(waiting);
    this.waiting.delete(request.id);
    this.refundAccount(request);
  }

  private refuseWaiting(waiting: QueuedRequest, error: ErrorNumber): void {
    const { request } = waiting;
    const pool = this.poolOf(request.pool);
    this.removeWaiting(waiting);
    const waitMs = pool.queue.predictWaitMs(request);
    const { error: reason, retryAfterMs } = this.refuse(
      request,
      pool,
      error,
      waitMs,
    );
    this.inputs.giveUp(request, { error: reason, retryAfterMs });
  }

  private refuse(
    request: AdmissionRequest,
    pool: PoolState,
    error: ErrorNumber,
    waitMs: number,
  ): Extract<AdmissionDecision, { kind: "refused" }> {
    pool.refused += 1;
    pool.refusals.add(request);
    const detail = { account: request.account, profile: request.profile };
    const retryAfterMs = this.computeRetryAfterMs(request, waitMs);
    return { kind: "refused", error: failure(error, detail), retryAfterMs };
  }

  /** Adds up to 100% of jitter so that refused callers don't retry at once. */
  private computeRetryAfterMs(
    request: AdmissionRequest,
    waitMs: number,
  ): number {
    const { retryDelayMs } = this.inputs;
    if (retryDelayMs !== undefined)
      return Math.ceil(retryDelayMs(request, waitMs));
    const jitteredMs =
      Math.max(MINIMUM_RETRY_AFTER_MS, waitMs) * (1 + this.inputs.random());
    return Math.ceil(Math.min(MAXIMUM_RETRY_AFTER_MS, jitteredMs));
  }

  private chargeAccount(
    request: AdmissionRequest,
  ): AdmissionDecision | undefined {
    const { account, accountLimit, costTokens } = request;
    if (accountLimit === undefined) return undefined;
    const waitMs = this.limits.charge(account, accountLimit, costTokens);
    if (waitMs === 0) return undefined;
    return this.refuse(request, this.poolOf(request.pool), 1504, waitMs);
  }

  private refundAccount({ account, costTokens }: AdmissionRequest): void {
    this.limits.adjustCharge(account, -costTokens);
  }

  private reportIfEmptied(key: string, pool: PoolState): void {
    if (pool.queuedSinceMs === 0 || pool.queue.waitingCount > 0) return;
    const durationMs = this.inputs.now() - pool.queuedSinceMs;
    this.inputs.emit(154, { pool: key, durationMs, refused: pool.refused });
    pool.queuedSinceMs = 0;
  }

  private poolOf(key: string): PoolState {
    const existing = this.pools.get(key);
    if (existing !== undefined) return existing;
    const pool = {
      queue: PoolQueue.create(),
      queuedSinceMs: 0,
      refused: 0,
      refusals: RecentRefusals.create(this.inputs.now),
    };
    this.pools.set(key, pool);
    return pool;
  }

  /** A request that starts later is unlikely to meet its deadline. */
  private latestStartAtMs(request: AdmissionRequest): number {
    const { arrivedAtMs, deadlineAtMs, serviceMs } = request;
    const maximumMarginMs = (deadlineAtMs - arrivedAtMs) * MAXIMUM_MARGIN_SHARE;
    const marginMs = serviceMs * this.tuning.serviceMargin;
    return deadlineAtMs - Math.min(maximumMarginMs, marginMs);
  }

  private giveUpAtMs(request: AdmissionRequest): number {
    const { arrivedAtMs, queue } = request;
    const maximumWaitAtMs = arrivedAtMs + queue.maximumWaitMs;
    return Math.min(this.latestStartAtMs(request), maximumWaitAtMs);
  }
}
