/**
 * Backend servers that get no more work, remembered for as long as the store may
 * show them again: when it comes back from an older copy, who left since then is
 * ready in it once more.
 */
import type { Now } from "../internal.js";
import { orderOfLives } from "./life.js";
import type { After, BackendServer } from "./types.js";

/** After a server has ended, and after the store came back, ms. */
export const ENDED_KEPT_MS = 60_000;

interface EndedServer {
  readonly server: BackendServer;
  /** Monotonic, ms. */
  readonly atMs: number;
}

export class EndedServers {
  private readonly ended = new Map<string, EndedServer>();
  private returnedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly now: Now,
    private readonly after: After,
  ) {}

  static create(now: Now, after: After): EndedServers {
    return new EndedServers(now, after);
  }

  /** As it registered last, or as it said that it leaves. */
  add(server: BackendServer): void {
    const { id } = server;
    const atMs = this.now();
    this.ended.set(id, { server, atMs });
    this.after(ENDED_KEPT_MS, () => {
      if (this.ended.get(id)?.atMs === atMs) this.ended.delete(id);
    });
  }

  /** It gets work again. */
  delete(id: string): void {
    this.ended.delete(id);
  }

  onStoreReturned(): void {
    this.returnedAtMs = this.now();
  }

  /**
   * Whether the record is one that the store has brought back. A server that
   * lives writes again, with a higher heartbeat; among the records of a whole
   * reading, its last one from before may come from the copy.
   */
  isBroughtBack(seen: BackendServer, isWholeReading: boolean): boolean {
    if (this.now() - this.returnedAtMs >= ENDED_KEPT_MS) return false;
    const known = this.ended.get(seen.id)?.server;
    if (known === undefined) return false;
    if (orderOfLives(known.startedAtMs, seen.startedAtMs) === "later") {
      return false;
    }
    if (known.isLeaving) return true;
    return isWholeReading
      ? seen.heartbeat <= known.heartbeat
      : seen.heartbeat < known.heartbeat;
  }
}
