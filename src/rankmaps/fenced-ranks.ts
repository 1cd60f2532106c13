/**
 * Which ranks have accepted the present fencing number, and in which life. A
 * rank that starts anew has forgotten it: an order of before, still under way,
 * would be carried out there. So only the present life's acceptance counts.
 */
import { orderOfLives, type LifeStart } from "../membership/life.js";
import type { RankState } from "./types.js";

export class FencedRanks {
  private readonly lives = new Map<number, LifeStart>();

  static create(): FencedRanks {
    return new FencedRanks();
  }

  get isEmpty(): boolean {
    return this.lives.size === 0;
  }

  /** `startedAtMs`: the life that accepted. */
  add(rank: number, startedAtMs: LifeStart): void {
    const known = this.lives.get(rank);
    if (orderOfLives(known, startedAtMs) === "earlier") return;
    this.lives.set(rank, startedAtMs);
  }

  clear(): void {
    this.lives.clear();
  }

  /** The ranks whose life, as they show it, has accepted the number. */
  among(states: readonly RankState[]): ReadonlySet<number> {
    const fenced = states.filter((state) => this.isFenced(state));
    return new Set(fenced.map(({ rank }) => rank));
  }

  private isFenced({ rank, startedAtMs }: RankState): boolean {
    if (!this.lives.has(rank)) return false;
    return orderOfLives(this.lives.get(rank), startedAtMs) === "same";
  }
}
