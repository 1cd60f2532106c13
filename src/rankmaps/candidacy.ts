/**
 * Which agents of a group stand for its planner's seat. Each one that does calls
 * the store twice a second, and a large group needs a planner no more often than a
 * small one: agents of the first ranks stand, and any other only while nobody
 * looks at its rank, because then none of them plans.
 */
import type { Now } from "../internal.js";

/** Agents that stand for the seat at all times: those of ranks below this. */
export const STANDING_RANKS = 8;
/**
 * A planner looks at all ranks four times a second, and one that takes over needs
 * two or three seconds from the loss of the last one to its first look, ms.
 */
export const UNOBSERVED_MS = 4000;

export class Candidacy {
  private observedAtMs: number;

  private constructor(private readonly now: Now) {
    this.observedAtMs = now();
  }

  static create(now: Now): Candidacy {
    return new Candidacy(now);
  }

  /** A planner has looked at the own rank. */
  onObserved(): void {
    this.observedAtMs = this.now();
  }

  stands(rank: number): boolean {
    const unobservedMs = this.now() - this.observedAtMs;
    return rank < STANDING_RANKS || unobservedMs >= UNOBSERVED_MS;
  }
}
