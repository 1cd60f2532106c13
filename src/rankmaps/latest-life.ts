/**
 * The latest life seen at one address. What an earlier one said arrives late
 * and is void, whichever way it came.
 */
import {
  orderOfLives,
  type LifeOrder,
  type LifeStart,
} from "../membership/life.js";

export class LatestLife {
  private startedAtMs: LifeStart;

  static create(): LatestLife {
    return new LatestLife();
  }

  /** Where this life stands beside the latest; a later one replaces it. */
  see(startedAtMs: LifeStart): LifeOrder {
    const order = orderOfLives(this.startedAtMs, startedAtMs);
    if (order !== "earlier") this.startedAtMs = startedAtMs ?? this.startedAtMs;
    return order;
  }

  /** Whether a later life than this one has been seen. */
  isOver(startedAtMs: LifeStart): boolean {
    return orderOfLives(this.startedAtMs, startedAtMs) === "earlier";
  }
}
