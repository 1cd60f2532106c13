/**
 * The latest life seen at one address. What an earlier one said arrives late
 * and is void, whichever way it came.
 */
import type { Now } from "../internal.js";
import {
  orderOfLives,
  type LifeOrder,
  type LifeStart,
} from "../membership/life.js";

/**
 * A life that has been silent for so long while another one answers isn't the
 * later one, ms: the server's clock was set back. Left at that, the rank would
 * be out of reach for as long as this process runs. No call to a rank or its
 * agent takes more than 250 ms, so nothing said before is that late.
 */
const SILENT_AFTER_MS = 3000;

export class LatestLife {
  private startedAtMs: LifeStart;
  /** Monotonic, ms. */
  private seenAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly now: Now) {}

  static create(now: Now): LatestLife {
    return new LatestLife(now);
  }

  /** Where this life stands beside the latest; a later one replaces it. */
  see(startedAtMs: LifeStart): LifeOrder {
    const order = orderOfLives(this.startedAtMs, startedAtMs);
    const nowMs = this.now();
    const isSilent = nowMs - this.seenAtMs >= SILENT_AFTER_MS;
    if (order === "earlier" && !isSilent) return "earlier";
    this.startedAtMs = startedAtMs ?? this.startedAtMs;
    this.seenAtMs = nowMs;
    return order === "same" ? "same" : "later";
  }

  /** Whether a later life than this one has been seen. */
  isOver(startedAtMs: LifeStart): boolean {
    return orderOfLives(this.startedAtMs, startedAtMs) === "earlier";
  }
}
