/**
 * Estimates the output tokens of a request by a moving average over earlier
 * answers. The output limit that callers set is several times what they use:
 * if it were charged, accounts with high limits would get only a part of their
 * share, and half the requests in the queue would be refused needlessly.
 */

/** Weight of a new answer in the moving average, which spans about twenty. */
const SMOOTHING_FACTOR = 0.05;
/**
 * Estimate before an account's first answer under a profile. It is low, since
 * an estimate that is too high causes needless refusals.
 */
const INITIAL_ESTIMATE_TOKENS = 64;

export class OutputEstimate {
  private readonly meanTokens = new Map<string, number>();

  private constructor() {
    // Instances come from create().
  }

  static create(): OutputEstimate {
    return new OutputEstimate();
  }

  /** Expected output tokens, at most the caller's own `limit`. */
  estimateTokens(account: string, profile: string, limit?: number): number {
    const mean =
      this.meanTokens.get(keyOf(account, profile)) ?? INITIAL_ESTIMATE_TOKENS;
    return Math.min(mean, limit ?? Number.POSITIVE_INFINITY);
  }

  onAnswered(account: string, profile: string, tokens: number): void {
    const key = keyOf(account, profile);
    const mean = this.meanTokens.get(key);
    const weight = mean === undefined ? 1 : SMOOTHING_FACTOR;
    const previousMean = mean ?? 0;
    this.meanTokens.set(key, previousMean + weight * (tokens - previousMean));
  }
}

function keyOf(account: string, profile: string): string {
  return `${account} ${profile}`;
}
