/**
 * Lives that get no work any more. A write to the store that got no answer may
 * be carried out seconds later: a record of a life that has left, or that a
 * later one has replaced, would bring it back. So what ended is remembered for
 * longer than such a write takes.
 */
import type { Now } from "../internal.js";
import type { After, BackendServer } from "./types.js";

/** Late writes take seconds; a life that ended is kept this long, ms. */
export const PAST_LIFE_KEPT_MS = 60_000;

/** Where a life stands that gets no work. */
export type PastStanding =
  /** It said that it leaves, and never comes back. */
  | "leaving"
  /** Its entry went away; registered anew, the same life gets work again. */
  | "dropped";

export interface PastLife {
  /** As it last registered. */
  readonly server: BackendServer;
  readonly standing: PastStanding;
  /** When it got here, monotonic ms. */
  readonly sinceMs: number;
  /** Undefined while the register still holds its entry. */
  readonly forgetAtMs: number | undefined;
}

/** The newest life of each id that gets no work. */
export class PastLives {
  private readonly lives = new Map<string, PastLife>();

  private constructor(
    private readonly now: Now,
    private readonly after: After,
  ) {}

  static create(now: Now, after: After): PastLives {
    return new PastLives(now, after);
  }

  get size(): number {
    return this.lives.size;
  }

  get ids(): readonly string[] {
    return [...this.lives.keys()];
  }

  get(id: string): PastLife | undefined {
    return this.lives.get(id);
  }

  /** Its entry stays in the register until it has ended. */
  addLeaving(server: BackendServer): void {
    this.lives.set(server.id, {
      server,
      standing: "leaving",
      sinceMs: this.now(),
      forgetAtMs: undefined,
    });
  }

  /** Without a start, a later life couldn't be told from this one. */
  addDropped(server: BackendServer): void {
    if (server.startedAtMs === undefined) return;
    const sinceMs = this.now();
    const forgetAtMs = sinceMs + PAST_LIFE_KEPT_MS;
    const standing = "dropped";
    this.lives.set(server.id, { server, standing, sinceMs, forgetAtMs });
    this.forgetLater(server.id, forgetAtMs);
  }

  delete(id: string): void {
    this.lives.delete(id);
  }

  /** The register doesn't hold the id's entry any more. */
  onRemoved(id: string): void {
    const life = this.lives.get(id);
    if (life === undefined) return;
    if (life.server.startedAtMs === undefined) {
      this.lives.delete(id);
      return;
    }
    if (life.forgetAtMs !== undefined) return;
    const forgetAtMs = this.now() + PAST_LIFE_KEPT_MS;
    this.lives.set(id, { ...life, forgetAtMs });
    this.forgetLater(id, forgetAtMs);
  }

  private forgetLater(id: string, forgetAtMs: number): void {
    this.after(PAST_LIFE_KEPT_MS, () => {
      const isDue = this.lives.get(id)?.forgetAtMs === forgetAtMs;
      if (isDue) this.lives.delete(id);
    });
  }
}
