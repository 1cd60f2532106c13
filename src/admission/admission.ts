/**
 * Whether a request starts now, waits, or is refused, at one entry. Made for
 * twice the work that the runners can do, for bursts of ten times the usual
 * and for one account that floods. What is refused was never started, and is
 * told when to come back.
 */
import { failure, type ErrorNumber } from "../internal.js";
import { AccountLimits } from "./account-limits.js";
import { MinHeap } from "./min-heap.js";
import { PoolQueue } from "./pool-queue.js";
import type { ProfileQueue, Waiting } from "./profile-queue.js";
import type {
  AdmissionInputs,
  AdmissionRequest,
  AdmissionTuning,
  Ended,
  Offer,
} from "./types.js";

/** Sooner than this a repeat finds the same queue. */
const SHORTEST_RETRY_MS = 100;
/** Longer than this no prediction of a queue is worth anything. */
const LONGEST_RETRY_MS = 60_000;

/**
 * A queue as long as the deadlines allow serves no more than a shorter one,
 * but serves everybody late: what is started near its deadline is often cut.
 */
const DEFAULT_TUNING: AdmissionTuning = { waitShare: 0.25, serviceMargin: 2 };

/**
 * The margin takes this part of the deadline at most. Without a bound, a first
 * estimate that was too long refused every request of a profile, so that no
 * answer ever came to correct it.
 */
const MOST_MARGIN_SHARE = 0.5;

interface PoolState {
  readonly queue: PoolQueue;
  queuedSinceMs: number;
  refused: number;
}

export class Admission {
  private readonly pools = new Map<string, PoolState>();
  private readonly waiting = new Map<string, Waiting>();
  private readonly giveUps = MinHeap.create<Waiting>();
  private readonly limits: AccountLimits;
  private readonly tuning: AdmissionTuning;

  private constructor(private readonly inputs: AdmissionInputs) {
    this.tuning = { ...DEFAULT_TUNING, ...inputs.tuning };
    this.limits = AccountLimits.create(inputs.now, inputs.entries);
  }

  static create(inputs: AdmissionInputs): Admission {
    return new Admission(inputs);
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Earliest time at which `sweep` has something to give up. */
  get nextGiveUpAtMs(): number {
    return this.giveUps.leastKey;
  }

  offer(request: AdmissionRequest): Offer {
    const pool = this.poolOf(request.pool);
    const limited = this.chargeAccount(request);
    if (limited !== undefined) return limited;
    const queue = pool.queue.profileOf(request);
    if (this.startNow(request, pool, queue)) return { kind: "admitted" };
    const refused = this.checkDeadline(request, pool, queue);
    if (refused !== undefined) {
      this.refundAccount(request);
      return refused;
    }
    this.enqueue(request, pool);
    return { kind: "queued" };
  }

  /** Starts what may start. Called when room may have come up. */
  drain(poolKey: string): void {
    this.sweep();
    const pool = this.poolOf(poolKey);
    for (;;) {
      const queue = pool.queue.nextProfile();
      const head = queue?.head();
      if (queue === undefined || head === undefined) break;
      const { request } = head.waiting;
      if (!this.inputs.start(request)) break;
      pool.queue.startHead(queue, request);
      this.waiting.delete(request.id);
    }
    this.tellEmptied(poolKey, pool);
  }

  /**
   * Gives up what has waited too long or can't be finished any more, before
   * it takes a runner's time. Called when the earliest such time has come.
   */
  sweep(): void {
    const nowMs = this.inputs.now();
    while (this.giveUps.leastKey <= nowMs) {
      const waiting = this.giveUps.pop();
      if (waiting === undefined || waiting.left) continue;
      const isLate = this.latestStart(waiting.request) <= nowMs;
      this.abandon(waiting, isLate ? 1502 : 1503);
    }
  }

  /** A started request is over: frees its place and settles its cost. */
  onEnded(request: AdmissionRequest, ended: Ended): void {
    const pool = this.poolOf(request.pool);
    pool.queue.onEnded(request, ended.costTokens, ended.durationMs);
    const excess = ended.costTokens - request.costTokens;
    this.limits.correct(request.account, excess);
    this.drain(request.pool);
  }

  /**
   * The chosen runner's agent refused, or the attempt may be repeated: the
   * request waits again, with the deadline it had.
   */
  putBack(request: AdmissionRequest): void {
    const pool = this.poolOf(request.pool);
    pool.queue.onEnded(request, 0, undefined);
    const waiting = this.enqueue(request, pool, true);
    if (this.latestGiveUp(request) > this.inputs.now()) return;
    this.abandon(waiting, 1502);
  }

  /** The caller went away. True when the request was still waiting. */
  cancel(id: string): boolean {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) return false;
    this.leave(waiting);
    return true;
  }

  private startNow(
    request: AdmissionRequest,
    pool: PoolState,
    queue: ProfileQueue,
  ): boolean {
    if (pool.queue.waitingCount > 0) return false;
    if (queue.running >= queue.concurrency) return false;
    if (!this.inputs.start(request)) return false;
    pool.queue.onStarted(request, queue);
    return true;
  }

  /** What can't be in time is refused now, not when its time is up. */
  private checkDeadline(
    request: AdmissionRequest,
    pool: PoolState,
    queue: ProfileQueue,
  ): Offer | undefined {
    const nowMs = this.inputs.now();
    const waitMs = pool.queue.predictWaitMs(request);
    const leftMs = this.latestGiveUp(request) - nowMs;
    const slackMs = leftMs * this.tuning.waitShare;
    if (waitMs >= slackMs) {
      return this.refuse(request, pool, 1502, waitMs - Math.max(0, slackMs));
    }
    const tokens = queue.waitingTokens + request.costTokens;
    if (tokens <= request.queue.maximumTokens) return undefined;
    return this.makeRoom(request, pool, queue, waitMs);
  }

  /**
   * A full queue would refuse the small accounts for what the large one sent.
   * So the youngest request of the account that has most for its weight goes,
   * unless that is the newcomer's.
   */
  private makeRoom(
    request: AdmissionRequest,
    pool: PoolState,
    queue: ProfileQueue,
    waitMs: number,
  ): Offer | undefined {
    const { account, weight, costTokens } = request;
    const own = queue.loadWith(account, weight, costTokens);
    for (;;) {
      const room = request.queue.maximumTokens - queue.waitingTokens;
      if (room >= costTokens) return undefined;
      const heaviest = queue.heaviest();
      if (heaviest === undefined || heaviest.load <= own) {
        return this.refuse(request, pool, 1501, waitMs);
      }
      this.abandon(heaviest.waiting, 1505);
    }
  }

  private enqueue(
    request: AdmissionRequest,
    pool: PoolState,
    atFront = false,
  ): Waiting {
    if (pool.queue.waitingCount === 0) {
      pool.queuedSinceMs = this.inputs.now();
      pool.refused = 0;
      this.inputs.emit(153, { pool: request.pool });
    }
    const standing = pool.queue.standingOf(request.account);
    const waiting = { request, standing, left: false };
    pool.queue.push(waiting, atFront);
    this.waiting.set(request.id, waiting);
    this.giveUps.push(this.latestGiveUp(request), waiting);
    return waiting;
  }

  private leave(waiting: Waiting): void {
    const { request } = waiting;
    this.poolOf(request.pool).queue.leave(waiting);
    this.waiting.delete(request.id);
    this.refundAccount(request);
  }

  private abandon(waiting: Waiting, error: ErrorNumber): void {
    const { request } = waiting;
    const pool = this.poolOf(request.pool);
    this.leave(waiting);
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
  ): Extract<Offer, { kind: "refused" }> {
    pool.refused += 1;
    const detail = { account: request.account, profile: request.profile };
    const retryAfterMs = this.retryAfter(waitMs);
    return { kind: "refused", error: failure(error, detail), retryAfterMs };
  }

  /** Spread over twice the time, so that the refused don't return at once. */
  private retryAfter(waitMs: number): number {
    const spread =
      Math.max(SHORTEST_RETRY_MS, waitMs) * (1 + this.inputs.random());
    return Math.ceil(Math.min(LONGEST_RETRY_MS, spread));
  }

  private chargeAccount(request: AdmissionRequest): Offer | undefined {
    const { account, accountLimit, costTokens } = request;
    if (accountLimit === undefined) return undefined;
    const waitMs = this.limits.take(account, accountLimit, costTokens);
    if (waitMs === 0) return undefined;
    return this.refuse(request, this.poolOf(request.pool), 1504, waitMs);
  }

  private refundAccount({ account, costTokens }: AdmissionRequest): void {
    this.limits.correct(account, -costTokens);
  }

  private tellEmptied(key: string, pool: PoolState): void {
    if (pool.queuedSinceMs === 0 || pool.queue.waitingCount > 0) return;
    const durationMs = this.inputs.now() - pool.queuedSinceMs;
    this.inputs.emit(154, { pool: key, durationMs, refused: pool.refused });
    pool.queuedSinceMs = 0;
  }

  private poolOf(key: string): PoolState {
    const known = this.pools.get(key);
    if (known !== undefined) return known;
    const pool = { queue: PoolQueue.create(), queuedSinceMs: 0, refused: 0 };
    this.pools.set(key, pool);
    return pool;
  }

  /** Started later, it can hardly be finished within its deadline. */
  private latestStart(request: AdmissionRequest): number {
    const { arrivedAtMs, deadlineAtMs, serviceMs } = request;
    const mostMs = (deadlineAtMs - arrivedAtMs) * MOST_MARGIN_SHARE;
    const marginMs = serviceMs * this.tuning.serviceMargin;
    return deadlineAtMs - Math.min(mostMs, marginMs);
  }

  private latestGiveUp(request: AdmissionRequest): number {
    const { arrivedAtMs, queue } = request;
    const longestMs = arrivedAtMs + queue.maximumWaitMs;
    return Math.min(this.latestStart(request), longestMs);
  }
}
