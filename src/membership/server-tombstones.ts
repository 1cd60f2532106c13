/**
 * Tombstones of backend servers that get no more requests. They are kept for as
 * long as the store may present these servers again: after a rollback to an
 * older copy, servers that have left since are shown as ready.
 */
import type { Now } from "../internal.js";
import { compareIncarnations } from "./incarnation.js";
import type { ScheduleAfter, BackendServer } from "./types.js";

/**
 * How long a tombstone is kept, and how long records are checked after a
 * rollback, ms.
 */
export const TOMBSTONE_TTL_MS = 60_000;

interface Tombstone {
  readonly server: BackendServer;
  /** When the tombstone was set, monotonic ms. */
  readonly atMs: number;
}

export class ServerTombstones {
  private readonly tombstones = new Map<string, Tombstone>();
  private rolledBackAtMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly now: Now,
    private readonly after: ScheduleAfter,
  ) {}

  static create(now: Now, after: ScheduleAfter): ServerTombstones {
    return new ServerTombstones(now, after);
  }

  /** `server`: its last registration, or its notice that it leaves. */
  add(server: BackendServer): void {
    const { id } = server;
    const atMs = this.now();
    this.tombstones.set(id, { server, atMs });
    this.after(TOMBSTONE_TTL_MS, () => {
      if (this.tombstones.get(id)?.atMs === atMs) this.tombstones.delete(id);
    });
  }

  /** The server gets requests again. */
  delete(id: string): void {
    this.tombstones.delete(id);
  }

  onStoreRolledBack(): void {
    this.rolledBackAtMs = this.now();
  }

  /**
   * Whether the record is outdated and was restored by the rollback. A live
   * server writes again with a higher heartbeat. In a reading of the whole
   * register, a record with the last known heartbeat may come from the restored
   * copy.
   */
  isOutdatedRecord(seen: BackendServer, isFullReading: boolean): boolean {
    if (this.now() - this.rolledBackAtMs >= TOMBSTONE_TTL_MS) return false;
    const known = this.tombstones.get(seen.id)?.server;
    if (known === undefined) return false;
    if (compareIncarnations(known.startedAtMs, seen.startedAtMs) === "later") {
      return false;
    }
    if (known.isLeaving) return true;
    return isFullReading
      ? seen.heartbeat <= known.heartbeat
      : seen.heartbeat < known.heartbeat;
  }
}
