/**
 * Bounds in bytes and in time for what a runner sends of one response. Returns
 * reasons to break it off, without I/O.
 */

/** Reason for which a response is broken off. */
export type BreakOffReason =
  | "answer too large"
  | "caller reads too slowly"
  | "responses hold too much memory"
  | "event too large"
  | "event takes too long"
  | "refusal without end";

/** Limit for one event of a stream, bytes. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;
/** Limit for the time between the first and the last byte of an event, ms. */
const MAXIMUM_EVENT_MS = 2000;
/** Limit for the body of a refusal, which isn't kept, bytes. */
const MAXIMUM_REFUSAL_BYTES = 64 * 1024;
/** Limit for the time from a refusal's head to its end, ms. */
export const MAXIMUM_REFUSAL_MS = 250;

export function refusalFault(bytes: number): BreakOffReason | undefined {
  return bytes > MAXIMUM_REFUSAL_BYTES ? "refusal without end" : undefined;
}

/** Watches the event of a stream whose end hasn't arrived. */
export class EventBounds {
  private startedAtMs: number | undefined;

  private constructor(private readonly isTimeLimited: boolean) {}

  /**
   * `isTimeLimited`: false if nothing can replace a stream that was broken off,
   * so that it may take until its deadline.
   */
  static create(isTimeLimited = true): EventBounds {
    return new EventBounds(isTimeLimited);
  }

  /**
   * Call it after each chunk with the bytes of the incomplete event.
   * `hasCompleted`: the chunk has completed an event.
   */
  check(
    partialBytes: number,
    hasCompleted: boolean,
    nowMs: number,
  ): BreakOffReason | undefined {
    if (partialBytes === 0) {
      this.startedAtMs = undefined;
      return undefined;
    }
    if (hasCompleted) this.startedAtMs = nowMs;
    this.startedAtMs ??= nowMs;
    if (partialBytes > MAXIMUM_EVENT_BYTES) return "event too large";
    const isOverdue = nowMs - this.startedAtMs > MAXIMUM_EVENT_MS;
    return isOverdue && this.isTimeLimited ? "event takes too long" : undefined;
  }
}
