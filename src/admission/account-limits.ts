/**
 * Token buckets that limit client accounts across all entries without a
 * coordinator: each of N live entries grants 1/N of the limit. Over any
 * time T the entries together grant at most
 *
 *     tokensPerSecond * T + burstTokens + entries * (largest request)
 *
 * because a bucket is charged only while its level is above zero, so that it
 * falls below zero by at most one request. While the entries' VM lists
 * disagree, the rate is off by the same factor as the number of entries.
 */
import type { Now } from "../internal.js";
import type { AccountLimit } from "./types.js";

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
}

const MS_PER_SECOND = 1000;

export class AccountLimits {
  private readonly buckets = new Map<string, TokenBucket>();

  private constructor(
    private readonly now: Now,
    private readonly countEntries: () => number,
  ) {}

  static create(now: Now, countEntries: () => number): AccountLimits {
    return new AccountLimits(now, countEntries);
  }

  /**
   * Charges the account and returns 0, or returns the time in ms until it can
   * be charged.
   */
  charge(account: string, limit: AccountLimit, tokens: number): number {
    const bucket = this.refill(account, limit);
    if (bucket.tokens > 0) {
      bucket.tokens -= tokens;
      return 0;
    }
    return (1 - bucket.tokens) / this.refillTokensPerMs(limit);
  }

  /** Adds `tokens` to an earlier charge; a negative number is a refund. */
  adjustCharge(account: string, tokens: number): void {
    const bucket = this.buckets.get(account);
    if (bucket !== undefined) bucket.tokens -= tokens;
  }

  private refill(account: string, limit: AccountLimit): TokenBucket {
    const nowMs = this.now();
    const capacityTokens = limit.burstTokens / this.entryCount;
    const existing = this.buckets.get(account);
    if (existing === undefined) {
      const bucket = { tokens: capacityTokens, refilledAtMs: nowMs };
      this.buckets.set(account, bucket);
      return bucket;
    }
    const refillTokens =
      (nowMs - existing.refilledAtMs) * this.refillTokensPerMs(limit);
    existing.tokens = Math.min(capacityTokens, existing.tokens + refillTokens);
    existing.refilledAtMs = nowMs;
    return existing;
  }

  private refillTokensPerMs(limit: AccountLimit): number {
    return limit.tokensPerSecond / MS_PER_SECOND / this.entryCount;
  }

  private get entryCount(): number {
    return Math.max(1, this.countEntries());
  }
}
