/**
 * Waiting and running requests of one pool at one entry. Schedules the profiles
 * by priority and predicts the queueing time of new requests.
 */
import {
  ProfileQueue,
  type AccountState,
  type QueuedRequest,
} from "./profile-queue.js";
import type { AdmissionRequest, WaitingRequests } from "./types.js";

/**
 * Share of the started work that goes to lower priorities while higher ones
 * wait. It bounds the wait of the lowest priority; a larger share would make
 * the highest priority miss its deadlines.
 */
export const LOWER_PRIORITY_SHARE = 0.05;
/** Weight of a new answer in the moving average of durations. */
const DURATION_SMOOTHING_FACTOR = 0.05;

export class PoolQueue {
  private profiles: readonly ProfileQueue[] = [];
  private readonly accountStates = new Map<string, AccountState>();
  private virtualTime = 0;
  private activeWeight = 0;
  /** Tokens that lower priorities may start ahead of higher ones. */
  private lowerPriorityCredit = 0;
  /** Decaying sums of cost-weighted durations and of costs. */
  private durationSum = 0;
  private costSum = 0;

  private constructor() {
    // Instances come from create().
  }

  static create(): PoolQueue {
    return new PoolQueue();
  }

  get waitingCount(): number {
    return sum(this.profiles, ({ waitingCount }) => waitingCount);
  }

  profileOf(request: AdmissionRequest): ProfileQueue {
    const existing = this.profiles.find(
      ({ profile, priority, concurrency }) =>
        profile === request.profile &&
        priority === request.priority &&
        concurrency === request.concurrency,
    );
    if (existing !== undefined) return existing;
    const queue = ProfileQueue.create(request);
    // A new configuration may change profiles: drop the idle ones.
    const kept = this.profiles.filter(({ isIdle }) => !isIdle);
    this.profiles = [...kept, queue].sort((a, b) => a.priority - b.priority);
    return queue;
  }

  accountStateOf(account: string): AccountState {
    const existing = this.accountStates.get(account);
    if (existing !== undefined) return existing;
    const state = {
      account,
      finishTag: this.virtualTime,
      runningTokens: 0,
      requests: 0,
      activeWeight: 0,
    };
    this.accountStates.set(account, state);
    return state;
  }

  enqueue(waiting: QueuedRequest, atFront: boolean): void {
    const queue = this.profileOf(waiting.request);
    queue.enqueue(waiting, this.virtualTime, atFront);
    this.countRequest(waiting.request, 1);
  }

  /** Removes a waiting request that won't be started. */
  remove(waiting: QueuedRequest): void {
    this.profileOf(waiting.request).remove(waiting);
    this.countRequest(waiting.request, -1);
  }

  /** Removes the head of a profile's queue as it starts. */
  startHead(queue: ProfileQueue, request: AdmissionRequest): void {
    queue.takeHead(this.onStarted(request, queue));
    this.countRequest(request, -1);
  }

  /** The profile whose head is to start next. */
  nextProfile(): ProfileQueue | undefined {
    const ready = this.profiles.filter(({ canStart }) => canStart);
    const first = ready.at(0);
    if (first === undefined) return undefined;
    const starved = this.starvedProfile(ready, first.priority);
    if (starved !== undefined) return starved;
    const samePriority = ready.filter(
      ({ priority }) => priority === first.priority,
    );
    return withLowestTag(samePriority);
  }

  /** The profile whose head is to start next, as priorities alone decide. */
  mostUrgentProfile(): ProfileQueue | undefined {
    const ready = this.profiles.filter(({ canStart }) => canStart);
    return withLowestTag(
      ready.filter(({ priority }) => priority === ready[0].priority),
    );
  }

  /** Whether a request of this priority or a more urgent one waits. */
  isAnyWaitingUpTo(priority: number): boolean {
    return this.profiles.some(
      (queue) => queue.priority <= priority && queue.waitingCount > 0,
    );
  }

  waitingByPriority(): readonly WaitingRequests[] {
    const priorities = new Set(this.profiles.map(({ priority }) => priority));
    return Array.from(priorities, (priority) => {
      const queues = this.profiles.filter((one) => one.priority === priority);
      const arrivals = queues.map((queue) => queue.oldestArrivedAtMs);
      return {
        priority,
        waiting: sum(queues, ({ waitingCount }) => waitingCount),
        oldestArrivedAtMs: Math.min(...arrivals),
      };
    }).filter(({ waiting }) => waiting > 0);
  }

  /** Charges a started request; returns the account's new finish tag. */
  onStarted(request: AdmissionRequest, queue: ProfileQueue): number {
    const { costTokens, weight, account } = request;
    const state = this.accountStateOf(account);
    const startTag = Math.max(this.virtualTime, state.finishTag);
    state.finishTag = startTag + costTokens / weight;
    this.virtualTime = startTag;
    queue.running += 1;
    queue.runningTokens += costTokens;
    state.runningTokens += costTokens;
    this.updateLowerPriorityCredit(queue.priority, costTokens);
    this.countRequest(request, 1);
    return state.finishTag;
  }

  onEnded(
    request: AdmissionRequest,
    costTokens: number,
    durationMs: number | undefined,
  ): void {
    const queue = this.profileOf(request);
    queue.running = Math.max(0, queue.running - 1);
    this.countRequest(request, -1);
    const remainingTokens = queue.runningTokens - request.costTokens;
    queue.runningTokens = Math.max(0, remainingTokens);
    const excess = (costTokens - request.costTokens) / request.weight;
    const state = this.accountStateOf(request.account);
    state.finishTag += excess;
    state.runningTokens -= request.costTokens;
    if (excess < 0) queue.onRefunded(request.account, this.virtualTime);
    if (durationMs === undefined) return;
    const kept = 1 - DURATION_SMOOTHING_FACTOR;
    this.durationSum = kept * this.durationSum + costTokens * durationMs;
    this.costSum = kept * this.costSum + costTokens;
  }

  /**
   * Predicted wait of a new request; 0 before the first answer. By Little's
   * law the pool serves the tokens in flight once per mean duration. This also
   * holds at the start of a burst, when the rate of answers still reflects the
   * idle time before it. The account's queue advances at its share of the
   * tokens in flight, or at its fair share if that is larger.
   */
  predictWaitMs(request: AdmissionRequest): number {
    if (this.costSum === 0) return 0;
    const queue = this.profileOf(request);
    const { account, weight, priority } = request;
    const higher = this.profiles.filter((other) => other.priority < priority);
    const inFlightTokens = sum(
      this.profiles,
      ({ runningTokens }) => runningTokens,
    );
    const higherPriorityTokens = sum(
      higher,
      ({ runningTokens }) => runningTokens,
    );
    const availableTokens = Math.max(
      inFlightTokens - higherPriorityTokens,
      LOWER_PRIORITY_SHARE * inFlightTokens,
    );
    if (availableTokens <= 0) return 0;
    const state = this.accountStateOf(account);
    const otherWeight = this.activeWeight - state.activeWeight;
    const fairShare = weight / (otherWeight + weight);
    const share = Math.max(fairShare, state.runningTokens / availableTokens);
    const tokensAhead =
      sum(higher, ({ waitingTokens }) => waitingTokens) +
      queue.waitingTokensBefore(request) / Math.min(1, share);
    return (tokensAhead / availableTokens) * (this.durationSum / this.costSum);
  }

  /**
   * Tracks the total weight of active accounts, which includes those that only
   * have running requests. When only accounts with waiting requests counted,
   * the predicted waits of a flooding account were too short, and its requests
   * were given up after nine seconds instead of refused at once.
   */
  private countRequest(
    { account, weight }: AdmissionRequest,
    change: number,
  ): void {
    const state = this.accountStateOf(account);
    state.requests += change;
    const activeWeight = state.requests > 0 ? weight : 0;
    this.activeWeight += activeWeight - state.activeWeight;
    state.activeWeight = activeWeight;
  }

  private starvedProfile(
    ready: readonly ProfileQueue[],
    highest: number,
  ): ProfileQueue | undefined {
    const lower = ready.filter(({ priority }) => priority > highest);
    const oldest = withOldestHead(lower);
    const cost = oldest?.head()?.waiting.request.costTokens;
    if (cost === undefined || this.lowerPriorityCredit < cost) return undefined;
    return oldest;
  }

  /**
   * Adds credit for waiting lower priorities when a request starts, or spends
   * it if the request started ahead of a higher priority.
   */
  private updateLowerPriorityCredit(
    priority: number,
    costTokens: number,
  ): void {
    const isReady = (queue: ProfileQueue): boolean => queue.canStart;
    const isLowerWaiting = this.profiles.some(
      (queue) => queue.priority > priority && isReady(queue),
    );
    if (isLowerWaiting) {
      this.lowerPriorityCredit += costTokens * LOWER_PRIORITY_SHARE;
      return;
    }
    const isHigherWaiting = this.profiles.some(
      (queue) => queue.priority < priority && isReady(queue),
    );
    this.lowerPriorityCredit = isHigherWaiting
      ? Math.max(0, this.lowerPriorityCredit - costTokens)
      : 0;
  }
}

function sum(
  queues: readonly ProfileQueue[],
  valueOf: (queue: ProfileQueue) => number,
): number {
  let total = 0;
  for (const queue of queues) total += valueOf(queue);
  return total;
}

function withLowestTag(
  queues: readonly ProfileQueue[],
): ProfileQueue | undefined {
  let lowest: ProfileQueue | undefined;
  let lowestTag = Number.POSITIVE_INFINITY;
  for (const queue of queues) {
    const tag = queue.head()?.tag;
    if (tag === undefined || tag >= lowestTag) continue;
    lowest = queue;
    lowestTag = tag;
  }
  return lowest;
}

function withOldestHead(
  queues: readonly ProfileQueue[],
): ProfileQueue | undefined {
  let oldest: ProfileQueue | undefined;
  let arrivedAtMs = Number.POSITIVE_INFINITY;
  for (const queue of queues) {
    const head = queue.head();
    if (head === undefined) continue;
    if (head.waiting.request.arrivedAtMs >= arrivedAtMs) continue;
    oldest = queue;
    arrivedAtMs = head.waiting.request.arrivedAtMs;
  }
  return oldest;
}
