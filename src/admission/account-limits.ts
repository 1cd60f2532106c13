/**
 * Token limits of client accounts over all entries, without a coordinator:
 * each entry grants its part, one over the number of live entries. Over any
 * time T the entries together grant at most
 *
 *     tokensPerSecond * T + burstTokens + entries * (largest request)
 *
 * because a bucket is only charged while it is above zero and falls below it
 * by one request at most. While the VM lists of the entries disagree, the rate
 * is off by the same factor as the number of entries.
 */
import type { Now } from "../internal.js";
import type { AccountLimit } from "./types.js";

interface Bucket {
  tokens: number;
  atMs: number;
}

const MS_PER_SECOND = 1000;

export class AccountLimits {
  private readonly buckets = new Map<string, Bucket>();

  private constructor(
    private readonly now: Now,
    private readonly entries: () => number,
  ) {}

  static create(now: Now, entries: () => number): AccountLimits {
    return new AccountLimits(now, entries);
  }

  /** Charges the account; else tells how long it has to wait, in ms. */
  take(account: string, limit: AccountLimit, tokens: number): number {
    const bucket = this.refill(account, limit);
    if (bucket.tokens > 0) {
      bucket.tokens -= tokens;
      return 0;
    }
    return (1 - bucket.tokens) / this.rateOf(limit);
  }

  /** Corrects an earlier charge once the true cost is known. */
  correct(account: string, tokens: number): void {
    const bucket = this.buckets.get(account);
    if (bucket !== undefined) bucket.tokens -= tokens;
  }

  private refill(account: string, limit: AccountLimit): Bucket {
    const atMs = this.now();
    const most = limit.burstTokens / this.share;
    const known = this.buckets.get(account);
    if (known === undefined) {
      const bucket = { tokens: most, atMs };
      this.buckets.set(account, bucket);
      return bucket;
    }
    const gained = (atMs - known.atMs) * this.rateOf(limit);
    known.tokens = Math.min(most, known.tokens + gained);
    known.atMs = atMs;
    return known;
  }

  /** Tokens for each millisecond at this entry. */
  private rateOf(limit: AccountLimit): number {
    return limit.tokensPerSecond / MS_PER_SECOND / this.share;
  }

  private get share(): number {
    return Math.max(1, this.entries());
  }
}
