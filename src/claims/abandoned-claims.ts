/**
 * This entry's claims whose calls ended before the claim was read back. The
 * append may still take effect; if it does, the claim is released and its
 * attempt is never dispatched.
 */
import { KEY_WINDOW_MS, keyTimestampMs } from "./keys.js";

/** Above this number the oldest abandoned claims are dropped. */
const MAXIMUM_ABANDONED_CLAIMS = 10_000;

export class AbandonedClaims {
  private readonly attempts = new Set<string>();

  private constructor() {
    // Instances come from create().
  }

  static create(): AbandonedClaims {
    return new AbandonedClaims();
  }

  add(attempt: string, nowMs: number): void {
    this.removeExpired(nowMs);
    this.attempts.add(attempt);
  }

  /** Whether the attempt was abandoned; true only once for each attempt. */
  remove(attempt: string): boolean {
    return this.attempts.delete(attempt);
  }

  /**
   * A claim that is appended outside the key window never wins, so it needs no
   * release. A claim dropped for lack of space isn't released; a repeat of its
   * call then has to query the agent first.
   */
  private removeExpired(nowMs: number): void {
    for (const attempt of this.attempts) {
      const isRecent = nowMs - keyTimestampMs(attempt) < KEY_WINDOW_MS;
      if (isRecent && this.attempts.size < MAXIMUM_ABANDONED_CLAIMS) return;
      this.attempts.delete(attempt);
    }
  }
}
