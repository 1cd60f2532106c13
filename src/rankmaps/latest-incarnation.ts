/**
 * Tracks the latest incarnation of the runner at one address. Responses of an
 * earlier incarnation may arrive late, by any route, and are ignored.
 */
import type { Now } from "../internal.js";
import {
  compareIncarnations,
  type IncarnationOrder,
  type IncarnationStart,
} from "../membership/incarnation.js";

/**
 * If the known incarnation hasn't answered for this long while another one
 * does, the other is accepted even with an earlier start, because its VM's
 * clock was set back. Otherwise the rank would be unreachable for the lifetime
 * of this process. No call to a rank or its agent takes more than 250 ms, so no
 * response of an earlier incarnation is delayed this long.
 */
const SILENCE_TIMEOUT_MS = 3000;

export class LatestIncarnation {
  private startedAtMs: IncarnationStart;
  /** Monotonic, ms. */
  private seenAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly now: Now) {}

  static create(now: Now): LatestIncarnation {
    return new LatestIncarnation(now);
  }

  /**
   * Compares an incarnation with the latest one and replaces it if the new one
   * is later.
   */
  observe(startedAtMs: IncarnationStart): IncarnationOrder {
    const order = compareIncarnations(this.startedAtMs, startedAtMs);
    const nowMs = this.now();
    const isSilent = nowMs - this.seenAtMs >= SILENCE_TIMEOUT_MS;
    if (order === "earlier" && !isSilent) return "earlier";
    this.startedAtMs = startedAtMs ?? this.startedAtMs;
    this.seenAtMs = nowMs;
    return order === "same" ? "same" : "later";
  }

  /** Whether a later incarnation has been seen. */
  isSuperseded(startedAtMs: IncarnationStart): boolean {
    return compareIncarnations(this.startedAtMs, startedAtMs) === "earlier";
  }
}
