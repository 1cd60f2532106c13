/**
 * Own claims whose calls were given up while the append was under way. It may
 * land at any time; the attempt is never dispatched then, but released.
 */
import { KEY_WINDOW_MS, keyTime } from "./keys.js";

/** Abandoned claims whose append may still land; the oldest go first. */
const MAXIMUM_ABANDONED = 10_000;

export class AbandonedClaims {
  private readonly attempts = new Set<string>();

  private constructor() {
    // made by create
  }

  static create(): AbandonedClaims {
    return new AbandonedClaims();
  }

  add(attempt: string, nowMs: number): void {
    this.forgetExpired(nowMs);
    this.attempts.add(attempt);
  }

  /** Whether the attempt was abandoned; it is told once. */
  take(attempt: string): boolean {
    return this.attempts.delete(attempt);
  }

  /**
   * A claim outside the window is void wherever it lands. One that is dropped
   * for want of room costs its repeat a question to the agent, no more.
   */
  private forgetExpired(nowMs: number): void {
    for (const attempt of this.attempts) {
      const isRecent = nowMs - keyTime(attempt) < KEY_WINDOW_MS;
      if (isRecent && this.attempts.size < MAXIMUM_ABANDONED) return;
      this.attempts.delete(attempt);
    }
  }
}
