/**
 * Waiting requests of one profile: one first-in-first-out line for each client
 * account, served in the order of start tags (start-time fair queueing, Goyal
 * et al. 1996). Cost counts, not the number of requests, so an account with
 * long prompts can't crowd out one with short ones.
 */
import { MinHeap } from "./min-heap.js";
import type { AdmissionRequest } from "./types.js";

/** An account's standing in a pool, over all profiles. */
export interface AccountStanding {
  readonly account: string;
  /** Virtual time at which its work so far is paid for. */
  finishTag: number;
  runningTokens: number;
  /** Requests waiting or running. */
  requests: number;
  /** As counted among the active accounts; 0 when it has no requests. */
  activeWeight: number;
}

export interface Waiting {
  readonly request: AdmissionRequest;
  readonly standing: AccountStanding;
  /** Set once it has left the queue by any way. */
  left: boolean;
}

interface Line {
  readonly standing: AccountStanding;
  readonly weight: number;
  readonly waiting: Waiting[];
  /** Index of the first that may still be waiting. */
  first: number;
  tokens: number;
  /** Its place in the order; infinite when it has none. */
  tag: number;
}

/** Entries of a line that are served and dropped in one go. */
const COMPACT_AFTER = 64;

export class ProfileQueue {
  readonly profile: string;
  readonly priority: number;
  readonly concurrency: number;
  running = 0;
  runningTokens = 0;
  waitingTokens = 0;
  waitingCount = 0;
  private readonly lines = new Map<string, Line>();
  private readonly order = MinHeap.create<Line>();

  private constructor({ profile, priority, concurrency }: AdmissionRequest) {
    this.profile = profile;
    this.priority = priority;
    this.concurrency = concurrency;
  }

  static create(first: AdmissionRequest): ProfileQueue {
    return new ProfileQueue(first);
  }

  get mayStart(): boolean {
    return this.waitingCount > 0 && this.running < this.concurrency;
  }

  get isIdle(): boolean {
    return this.running === 0 && this.waitingCount === 0;
  }

  push(waiting: Waiting, virtualTime: number, atFront: boolean): void {
    const line = this.lineOf(waiting);
    if (atFront) line.waiting.splice(line.first, 0, waiting);
    else line.waiting.push(waiting);
    this.count(line, waiting.request.costTokens, 1);
    this.retag(line, virtualTime);
  }

  /**
   * Moves an account forward whose work was cheaper than it was charged for.
   * Without this every refusal by an agent cost the account a turn.
   */
  onRefunded(account: string, virtualTime: number): void {
    const line = this.lines.get(account);
    if (line !== undefined && line.tokens > 0) this.retag(line, virtualTime);
  }

  /** The request that is served next, and its start tag. */
  head(): { readonly waiting: Waiting; readonly tag: number } | undefined {
    for (;;) {
      const line = this.order.least;
      if (line === undefined) return undefined;
      const waiting = firstOf(line);
      const tag = this.order.leastKey;
      const isCurrent = tag === line.tag && waiting !== undefined;
      if (isCurrent && line.standing.finishTag <= tag) return { waiting, tag };
      // Moved or empty by now, or charged for other work: put right.
      this.order.pop();
      if (tag !== line.tag) continue;
      line.tag = Number.POSITIVE_INFINITY;
      if (waiting !== undefined) this.retag(line, tag);
    }
  }

  /** Takes the head out, whose tag moves on to `nextTag`. */
  takeHead(nextTag: number): void {
    const line = this.order.pop();
    if (line === undefined) return;
    line.tag = Number.POSITIVE_INFINITY;
    const waiting = firstOf(line);
    if (waiting === undefined) return;
    this.leave(waiting);
    if (firstOf(line) !== undefined) this.retag(line, nextTag);
  }

  /** Marks a waiting request as gone; its place is skipped later. */
  leave(waiting: Waiting): void {
    if (waiting.left) return;
    waiting.left = true;
    const line = this.lines.get(waiting.request.account);
    if (line !== undefined) this.count(line, -waiting.request.costTokens, -1);
  }

  waitingTokensOf(account: string): number {
    return this.lines.get(account)?.tokens ?? 0;
  }

  /** The youngest request of the account that has most for its weight. */
  heaviest(): { readonly waiting: Waiting; readonly load: number } | undefined {
    let most: Line | undefined;
    for (const line of this.lines.values()) {
      if (line.tokens === 0) continue;
      if (most === undefined || loadOf(line) > loadOf(most)) most = line;
    }
    const waiting = most?.waiting.findLast(({ left }) => !left);
    if (most === undefined || waiting === undefined) return undefined;
    return { waiting, load: loadOf(most) };
  }

  loadWith(account: string, weight: number, tokens: number): number {
    return (this.waitingTokensOf(account) + tokens) / weight;
  }

  private lineOf({ request, standing }: Waiting): Line {
    const known = this.lines.get(request.account);
    if (known !== undefined) return known;
    const line: Line = {
      standing,
      weight: request.weight,
      waiting: [],
      first: 0,
      tokens: 0,
      tag: Number.POSITIVE_INFINITY,
    };
    this.lines.set(request.account, line);
    return line;
  }

  /** Puts a line into the order, or forward in it; never back. */
  private retag(line: Line, virtualTime: number): void {
    const tag = Math.max(virtualTime, line.standing.finishTag);
    if (tag >= line.tag) return;
    line.tag = tag;
    this.order.push(tag, line);
  }

  private count(line: Line, tokens: number, requests: number): void {
    line.tokens += tokens;
    this.waitingTokens += tokens;
    this.waitingCount += requests;
  }
}

function loadOf(line: Line): number {
  return line.tokens / line.weight;
}

function firstOf(line: Line): Waiting | undefined {
  while (line.waiting.at(line.first)?.left === true) line.first += 1;
  if (line.first > COMPACT_AFTER) {
    line.waiting.splice(0, line.first);
    line.first = 0;
  }
  return line.waiting.at(line.first);
}
