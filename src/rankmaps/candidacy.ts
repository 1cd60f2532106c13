/**
 * Decides which agents of a group are candidates for its planner lease. Each
 * candidate calls the store twice a second, and a large group needs no more
 * candidates than a small one. Agents of the first ranks are always candidates,
 * any other agent only while nobody observes its rank, because then no agent is
 * planning.
 */
import type { Now } from "../internal.js";

/** Agents of ranks below this are always candidates. */
export const CANDIDATE_RANKS = 8;
/**
 * An agent becomes a candidate when its rank hasn't been observed for this
 * long. A planner observes all ranks four times a second, and a new one
 * needs two or three seconds from the loss of the last planner to its first
 * observation.
 */
export const UNOBSERVED_TIMEOUT_MS = 4000;

export class Candidacy {
  private observedAtMs: number;

  private constructor(private readonly now: Now) {
    this.observedAtMs = now();
  }

  static create(now: Now): Candidacy {
    return new Candidacy(now);
  }

  /** Call when a planner observes this agent's rank. */
  onObserved(): void {
    this.observedAtMs = this.now();
  }

  isCandidate(rank: number): boolean {
    const unobservedMs = this.now() - this.observedAtMs;
    return rank < CANDIDATE_RANKS || unobservedMs >= UNOBSERVED_TIMEOUT_MS;
  }
}
