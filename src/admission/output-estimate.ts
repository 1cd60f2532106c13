/**
 * Expected output of a request. Callers' limits are several times what is
 * used; charged by them, an account that leaves its limit high would get only
 * a part of its share, and half the queue would be refused for nothing.
 */

/** Share of a new answer in the mean: about the last twenty count. */
const ANSWER_SHARE = 0.05;
/** Before the first answer of an account under a profile. Low: see above. */
const FIRST_ESTIMATE = 64;

export class OutputEstimate {
  private readonly means = new Map<string, number>();

  private constructor() {
    // Made by create.
  }

  static create(): OutputEstimate {
    return new OutputEstimate();
  }

  /** In tokens; `limit` is the caller's own, if there is one. */
  expect(account: string, profile: string, limit?: number): number {
    const mean = this.means.get(keyOf(account, profile)) ?? FIRST_ESTIMATE;
    return Math.min(mean, limit ?? Number.POSITIVE_INFINITY);
  }

  onAnswered(account: string, profile: string, tokens: number): void {
    const key = keyOf(account, profile);
    const mean = this.means.get(key);
    const share = mean === undefined ? 1 : ANSWER_SHARE;
    const before = mean ?? 0;
    this.means.set(key, before + share * (tokens - before));
  }
}

function keyOf(account: string, profile: string): string {
  return `${account} ${profile}`;
}
