/**
 * Waiting and running work of one pool at one entry: profiles by priority, and
 * the time that a new request would wait.
 */
import {
  ProfileQueue,
  type AccountStanding,
  type Waiting,
} from "./profile-queue.js";
import type { AdmissionRequest } from "./types.js";

/**
 * Part of the started work that goes to lower priorities while higher ones
 * wait. It bounds the wait of the lowest priority; more of it would cost the
 * highest one its deadlines.
 */
export const STARVATION_SHARE = 0.05;
/** Share of a new answer in the mean duration. */
const DURATION_SHARE = 0.05;

export class PoolQueue {
  private profiles: readonly ProfileQueue[] = [];
  private readonly standings = new Map<string, AccountStanding>();
  private virtualTime = 0;
  private activeWeight = 0;
  /** Tokens that lower priorities may start ahead of higher ones. */
  private lowerCredit = 0;
  /** Running sums of cost times duration and of cost. */
  private costDuration = 0;
  private cost = 0;

  private constructor() {
    // Made by create.
  }

  static create(): PoolQueue {
    return new PoolQueue();
  }

  get waitingCount(): number {
    return sum(this.profiles, ({ waitingCount }) => waitingCount);
  }

  profileOf(request: AdmissionRequest): ProfileQueue {
    const known = this.profiles.find(
      ({ profile, priority, concurrency }) =>
        profile === request.profile &&
        priority === request.priority &&
        concurrency === request.concurrency,
    );
    if (known !== undefined) return known;
    const queue = ProfileQueue.create(request);
    // Publications change profiles; what they left empty goes here.
    const kept = this.profiles.filter(({ isIdle }) => !isIdle);
    this.profiles = [...kept, queue].sort((a, b) => a.priority - b.priority);
    return queue;
  }

  standingOf(account: string): AccountStanding {
    const known = this.standings.get(account);
    if (known !== undefined) return known;
    const standing = {
      account,
      finishTag: this.virtualTime,
      runningTokens: 0,
      requests: 0,
      activeWeight: 0,
    };
    this.standings.set(account, standing);
    return standing;
  }

  push(waiting: Waiting, atFront: boolean): void {
    const queue = this.profileOf(waiting.request);
    queue.push(waiting, this.virtualTime, atFront);
    this.countRequest(waiting.request, 1);
  }

  /** Takes out a request that won't be served. */
  leave(waiting: Waiting): void {
    this.profileOf(waiting.request).leave(waiting);
    this.countRequest(waiting.request, -1);
  }

  /** Takes out the head of a profile, which starts. */
  startHead(queue: ProfileQueue, request: AdmissionRequest): void {
    queue.takeHead(this.onStarted(request, queue));
    this.countRequest(request, -1);
  }

  /** The profile whose head is served next. */
  nextProfile(): ProfileQueue | undefined {
    const ready = this.profiles.filter(({ mayStart }) => mayStart);
    const first = ready.at(0);
    if (first === undefined) return undefined;
    const starved = this.starvedProfile(ready, first.priority);
    if (starved !== undefined) return starved;
    const equals = ready.filter(({ priority }) => priority === first.priority);
    return leastTag(equals);
  }

  /** Charges a request that starts. */
  onStarted(request: AdmissionRequest, queue: ProfileQueue): number {
    const { costTokens, weight, account } = request;
    const standing = this.standingOf(account);
    const startTag = Math.max(this.virtualTime, standing.finishTag);
    standing.finishTag = startTag + costTokens / weight;
    this.virtualTime = startTag;
    queue.running += 1;
    queue.runningTokens += costTokens;
    standing.runningTokens += costTokens;
    this.turnCredit(queue.priority, costTokens);
    this.countRequest(request, 1);
    return standing.finishTag;
  }

  onEnded(
    request: AdmissionRequest,
    costTokens: number,
    durationMs: number | undefined,
  ): void {
    const queue = this.profileOf(request);
    queue.running = Math.max(0, queue.running - 1);
    this.countRequest(request, -1);
    const left = queue.runningTokens - request.costTokens;
    queue.runningTokens = Math.max(0, left);
    const excess = (costTokens - request.costTokens) / request.weight;
    const standing = this.standingOf(request.account);
    standing.finishTag += excess;
    standing.runningTokens -= request.costTokens;
    if (excess < 0) queue.onRefunded(request.account, this.virtualTime);
    if (durationMs === undefined) return;
    const kept = 1 - DURATION_SHARE;
    this.costDuration = kept * this.costDuration + costTokens * durationMs;
    this.cost = kept * this.cost + costTokens;
  }

  /**
   * Predicted wait of a new request; 0 while nothing is known. By Little's law
   * the pool serves the tokens in flight once in their mean duration, also in
   * the first moment of a burst, when the rate of answers still shows the idle
   * time before. The account's line moves at its share of what is in flight,
   * or at its fair share if that is more.
   */
  predictWaitMs(request: AdmissionRequest): number {
    if (this.cost === 0) return 0;
    const queue = this.profileOf(request);
    const { account, weight, priority } = request;
    const higher = this.profiles.filter((other) => other.priority < priority);
    const inFlight = sum(this.profiles, ({ runningTokens }) => runningTokens);
    const taken = sum(higher, ({ runningTokens }) => runningTokens);
    const open = Math.max(inFlight - taken, STARVATION_SHARE * inFlight);
    if (open <= 0) return 0;
    const standing = this.standingOf(account);
    const others = this.activeWeight - standing.activeWeight;
    const fairShare = weight / (others + weight);
    const share = Math.max(fairShare, standing.runningTokens / open);
    const ahead =
      sum(higher, ({ waitingTokens }) => waitingTokens) +
      queue.waitingTokensOf(account) / Math.min(1, share);
    return (ahead / open) * (this.costDuration / this.cost);
  }

  /**
   * Accounts with running work count as active too. Counting only those that
   * wait at the moment promised a flooding account more than it got, and its
   * requests were given up after nine seconds in place of refused at once.
   */
  private countRequest(
    { account, weight }: AdmissionRequest,
    change: number,
  ): void {
    const standing = this.standingOf(account);
    standing.requests += change;
    const active = standing.requests > 0 ? weight : 0;
    this.activeWeight += active - standing.activeWeight;
    standing.activeWeight = active;
  }

  private starvedProfile(
    ready: readonly ProfileQueue[],
    highest: number,
  ): ProfileQueue | undefined {
    const lower = ready.filter(({ priority }) => priority > highest);
    const oldest = longestWaiting(lower);
    const cost = oldest?.head()?.waiting.request.costTokens;
    if (cost === undefined || this.lowerCredit < cost) return undefined;
    return oldest;
  }

  /** Work of high priority earns credit for the lower ones that wait. */
  private turnCredit(priority: number, costTokens: number): void {
    const waits = (queue: ProfileQueue): boolean => queue.mayStart;
    const lowerWaits = this.profiles.some(
      (queue) => queue.priority > priority && waits(queue),
    );
    if (lowerWaits) {
      this.lowerCredit += costTokens * STARVATION_SHARE;
      return;
    }
    const higherWaits = this.profiles.some(
      (queue) => queue.priority < priority && waits(queue),
    );
    this.lowerCredit = higherWaits
      ? Math.max(0, this.lowerCredit - costTokens)
      : 0;
  }
}

function sum(
  queues: readonly ProfileQueue[],
  of: (queue: ProfileQueue) => number,
): number {
  let total = 0;
  for (const queue of queues) total += of(queue);
  return total;
}

function leastTag(queues: readonly ProfileQueue[]): ProfileQueue | undefined {
  let least: ProfileQueue | undefined;
  let leastTag = Number.POSITIVE_INFINITY;
  for (const queue of queues) {
    const tag = queue.head()?.tag;
    if (tag === undefined || tag >= leastTag) continue;
    least = queue;
    leastTag = tag;
  }
  return least;
}

function longestWaiting(
  queues: readonly ProfileQueue[],
): ProfileQueue | undefined {
  let longest: ProfileQueue | undefined;
  let arrivedAtMs = Number.POSITIVE_INFINITY;
  for (const queue of queues) {
    const head = queue.head();
    if (head === undefined) continue;
    if (head.waiting.request.arrivedAtMs >= arrivedAtMs) continue;
    longest = queue;
    arrivedAtMs = head.waiting.request.arrivedAtMs;
  }
  return longest;
}
