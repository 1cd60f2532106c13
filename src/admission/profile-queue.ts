/**
 * Waiting requests of one profile: a FIFO queue per client account, served in
 * the order of start tags (start-time fair queueing, Goyal et al. 1996). Shares
 * are measured in cost, not in requests, so an account with long prompts can't
 * crowd out one with short prompts.
 */
import { MinHeap } from "./min-heap.js";
import type { AdmissionRequest } from "./types.js";

/** Scheduling state of an account in a pool, across all profiles. */
export interface AccountState {
  readonly account: string;
  /** Virtual finish time of the work that it has started. */
  finishTag: number;
  runningTokens: number;
  /** Requests that are waiting or running. */
  requests: number;
  /** Its part of the pool's active weight; 0 when it has no requests. */
  activeWeight: number;
}

export interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly account: AccountState;
  /** True once it was started, refused or cancelled. */
  isRemoved: boolean;
}

interface AccountQueue {
  readonly account: AccountState;
  readonly weight: number;
  readonly requests: QueuedRequest[];
  /** Index of the first request that may still be waiting. */
  head: number;
  tokens: number;
  /** Key of its current heap node; infinite when it has none. */
  startTag: number;
}

/** Removed requests at the front of a queue that trigger a compaction. */
const COMPACTION_THRESHOLD = 64;

export class ProfileQueue {
  readonly profile: string;
  readonly priority: number;
  readonly concurrency: number;
  running = 0;
  runningTokens = 0;
  waitingTokens = 0;
  waitingCount = 0;
  private readonly accountQueues = new Map<string, AccountQueue>();
  private readonly byStartTag = MinHeap.create<AccountQueue>();

  private constructor({ profile, priority, concurrency }: AdmissionRequest) {
    this.profile = profile;
    this.priority = priority;
    this.concurrency = concurrency;
  }

  static create(first: AdmissionRequest): ProfileQueue {
    return new ProfileQueue(first);
  }

  get canStart(): boolean {
    return this.waitingCount > 0 && this.running < this.concurrency;
  }

  get isIdle(): boolean {
    return this.running === 0 && this.waitingCount === 0;
  }

  /** Infinite if nothing waits. */
  get oldestArrivedAtMs(): number {
    const heads = Array.from(this.accountQueues.values(), headOf);
    return Math.min(
      ...heads.map(
        (head) => head?.request.arrivedAtMs ?? Number.POSITIVE_INFINITY,
      ),
    );
  }

  enqueue(waiting: QueuedRequest, virtualTime: number, atFront: boolean): void {
    const queue = this.accountQueueOf(waiting);
    if (atFront) queue.requests.splice(queue.head, 0, waiting);
    else if (waiting.request.isReturn === true) insertReturn(queue, waiting);
    else queue.requests.push(waiting);
    this.addTo(queue, waiting.request.costTokens, 1);
    this.retag(queue, virtualTime);
  }

  /**
   * Advances the account's queue after a refund. Without this, every refusal by
   * an agent cost the account a turn.
   */
  onRefunded(account: string, virtualTime: number): void {
    const queue = this.accountQueues.get(account);
    if (queue !== undefined && queue.tokens > 0) this.retag(queue, virtualTime);
  }

  /** The request that is to start next, and its start tag. */
  head():
    { readonly waiting: QueuedRequest; readonly tag: number } | undefined {
    for (;;) {
      const queue = this.byStartTag.minimum;
      if (queue === undefined) return undefined;
      const waiting = headOf(queue);
      const tag = this.byStartTag.minimumKey;
      const isCurrent = tag === queue.startTag && waiting !== undefined;
      if (isCurrent && queue.account.finishTag <= tag) return { waiting, tag };
      // The heap node is outdated, or its queue is empty, or the account has
      // been charged for other work since: remove the node, and retag the
      // queue if it has requests and no newer node.
      this.byStartTag.pop();
      if (tag !== queue.startTag) continue;
      queue.startTag = Number.POSITIVE_INFINITY;
      if (waiting !== undefined) this.retag(queue, tag);
    }
  }

  /** Removes the head; the next request of its account gets `nextTag`. */
  takeHead(nextTag: number): void {
    const queue = this.byStartTag.pop();
    if (queue === undefined) return;
    queue.startTag = Number.POSITIVE_INFINITY;
    const waiting = headOf(queue);
    if (waiting === undefined) return;
    this.remove(waiting);
    if (headOf(queue) !== undefined) this.retag(queue, nextTag);
  }

  /** Marks a waiting request as removed; `headOf` skips it later. */
  remove(waiting: QueuedRequest): void {
    if (waiting.isRemoved) return;
    waiting.isRemoved = true;
    const queue = this.accountQueues.get(waiting.request.account);
    if (queue !== undefined) this.addTo(queue, -waiting.request.costTokens, -1);
  }

  /** Waiting tokens of the request's account that go before it. */
  waitingTokensBefore({ account, isReturn }: AdmissionRequest): number {
    if (isReturn !== true) return this.waitingTokensOf(account);
    const waiting = this.accountQueues.get(account)?.requests ?? [];
    return waiting
      .filter(({ isRemoved, request }) => !isRemoved && request.isReturn)
      .reduce((tokens, { request }) => tokens + request.costTokens, 0);
  }

  waitingTokensOf(account: string): number {
    return this.accountQueues.get(account)?.tokens ?? 0;
  }

  /** Newest request of the account with the most waiting tokens per weight. */
  newestOfHeaviest():
    { readonly waiting: QueuedRequest; readonly load: number } | undefined {
    let heaviest: AccountQueue | undefined;
    for (const queue of this.accountQueues.values()) {
      if (queue.tokens === 0) continue;
      if (heaviest === undefined || loadOf(queue) > loadOf(heaviest))
        heaviest = queue;
    }
    const waiting = heaviest?.requests.findLast(({ isRemoved }) => !isRemoved);
    if (heaviest === undefined || waiting === undefined) return undefined;
    return { waiting, load: loadOf(heaviest) };
  }

  loadIncluding(account: string, weight: number, tokens: number): number {
    return (this.waitingTokensOf(account) + tokens) / weight;
  }

  private accountQueueOf({ request, account }: QueuedRequest): AccountQueue {
    const existing = this.accountQueues.get(request.account);
    if (existing !== undefined) return existing;
    const queue: AccountQueue = {
      account,
      weight: request.weight,
      requests: [],
      head: 0,
      tokens: 0,
      startTag: Number.POSITIVE_INFINITY,
    };
    this.accountQueues.set(request.account, queue);
    return queue;
  }

  /** Adds a queue to the heap or lowers its start tag; never raises it. */
  private retag(queue: AccountQueue, virtualTime: number): void {
    const tag = Math.max(virtualTime, queue.account.finishTag);
    if (tag >= queue.startTag) return;
    queue.startTag = tag;
    this.byStartTag.push(tag, queue);
  }

  private addTo(queue: AccountQueue, tokens: number, requests: number): void {
    queue.tokens += tokens;
    this.waitingTokens += tokens;
    this.waitingCount += requests;
  }
}

/** Inserts it behind the others that have come back. */
function insertReturn(queue: AccountQueue, waiting: QueuedRequest): void {
  const { requests, head } = queue;
  const firstNew = requests.findIndex(
    ({ isRemoved, request }, index) =>
      index >= head && !isRemoved && request.isReturn !== true,
  );
  requests.splice(firstNew < 0 ? requests.length : firstNew, 0, waiting);
}

function loadOf(queue: AccountQueue): number {
  return queue.tokens / queue.weight;
}

function headOf(queue: AccountQueue): QueuedRequest | undefined {
  while (queue.requests.at(queue.head)?.isRemoved === true) queue.head += 1;
  if (queue.head > COMPACTION_THRESHOLD) {
    queue.requests.splice(0, queue.head);
    queue.head = 0;
  }
  return queue.requests.at(queue.head);
}
