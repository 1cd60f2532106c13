/**
 * The backend servers that are registered in the store. A server that is
 * removed or leaving gets no new requests, effective at once. An outage of the
 * store is the exception: registrations expire during it although the runners
 * are alive, and dropping them would leave no runner at all. Servers that
 * disappear around an outage are therefore kept until they have had time to
 * register again.
 *
 * A runner may restart under the same id. A later incarnation replaces an
 * earlier one at once, regardless of heartbeat, address and the state of the
 * earlier one; a late record of an earlier incarnation changes nothing.
 *
 * The store may be rolled back to an older copy. What this process has already
 * read still holds: a server that left gets no requests even if the copy shows
 * it as ready, and a server that is missing from the copy is kept until it has
 * had time to register again.
 */
import type { Emit, Now } from "../internal.js";
import { ServerTombstones } from "./server-tombstones.js";
import { compareIncarnations } from "./incarnation.js";
import {
  INACTIVE_RETENTION_MS,
  InactiveIncarnations,
} from "./inactive-incarnations.js";
import type { ScheduleAfter, BackendServer, RegisterChange } from "./types.js";

/**
 * Time after an outage of the store within which every live runner has
 * registered again, ms. The platform states about two seconds; the rest covers
 * reading the register. A VM that has reached the store for three seconds has
 * to know which servers left.
 */
export const LAPSE_GRACE_MS = 2900;

/**
 * How long removals are ignored after a later incarnation has replaced an
 * earlier one, ms. Such a removal belongs to the earlier one and arrived late,
 * because no incarnation misses several heartbeats right after its start. If
 * the later one did leave, it may still get requests for as long as any leaving
 * server; two readings of the register plus this time stay within that
 * (`register-interval`).
 */
export const REPLACEMENT_GRACE_MS = 600;

export interface DirectoryOptions {
  readonly now: Now;
  readonly after: ScheduleAfter;
  readonly emit: Emit;
  /** The runner may get requests, or its known details have changed. */
  readonly onServerAvailable: (server: BackendServer) => void;
  /** A registration of an available runner was read. */
  readonly onServerRegistered?: (server: BackendServer) => void;
  /** The runner gets no new requests from now on. */
  readonly onServerUnavailable: (id: string) => void;
  /**
   * The earlier incarnation has ended, because the later one has its id or its
   * address: requests that still run on it will never complete.
   */
  readonly onServerReplaced: (
    earlier: BackendServer,
    later: BackendServer,
  ) => void;
  /** Whether the active configuration names the service. */
  readonly isServiceNamed: (service: string) => boolean;
}

interface ActiveServer {
  readonly server: BackendServer;
  /** Time of the latest registration, monotonic ms. */
  readonly seenAtMs: number;
  /**
   * When it is dropped unless it registers again; undefined while the register
   * contains it.
   */
  readonly dropAtMs: number | undefined;
  /**
   * Until then a removal is attributed to an earlier incarnation, monotonic ms.
   */
  readonly graceEndsAtMs: number;
}

export class BackendServerDirectory {
  private readonly active = new Map<string, ActiveServer>();
  private readonly inactive: InactiveIncarnations;
  private readonly tombstones: ServerTombstones;
  private isStoreDown = false;
  private restoredAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: DirectoryOptions) {
    this.inactive = InactiveIncarnations.create(options.now, options.after);
    this.tombstones = ServerTombstones.create(options.now, options.after);
  }

  static create(options: DirectoryOptions): BackendServerDirectory {
    return new BackendServerDirectory(options);
  }

  get size(): number {
    return this.active.size;
  }

  /** Whether a runner with this id may get requests by the register. */
  has(id: string): boolean {
    return this.active.has(id);
  }

  /** Number of remembered incarnations that get no requests. */
  get inactiveCount(): number {
    return this.inactive.size;
  }

  onStoreLost(): void {
    this.isStoreDown = true;
  }

  /**
   * Must be called before the changes read after the outage are applied. The
   * grace period counts from the last failed call, monotonic ms. Counted from
   * the first successful one, which may come a second after the store is back,
   * it would end too late.
   */
  onStoreRestored(lastFailedAtMs: number): void {
    if (!this.isStoreDown) return;
    this.isStoreDown = false;
    this.restoredAtMs = lastFailedAtMs;
    for (const [id, { dropAtMs }] of this.active) {
      if (dropAtMs !== undefined) this.scheduleDrop(id, dropAtMs);
    }
  }

  /**
   * The store was rolled back to an older copy; the whole register is read
   * next. The grace period counts from the start of the last call that didn't
   * show the new era, monotonic ms.
   */
  onStoreRolledBack(lastCallWithoutNewEraAtMs: number): void {
    this.tombstones.onStoreRolledBack();
    this.restoredAtMs = Math.max(this.restoredAtMs, lastCallWithoutNewEraAtMs);
  }

  apply(changes: readonly RegisterChange[]): void {
    for (const { id, server, isUnusable } of changes) {
      if (server !== undefined) this.register(server, false);
      // Not an expiry: the record exists, so an outage can't explain it.
      else if (isUnusable) this.drop(id, "unusable entry");
      else this.remove(id);
    }
  }

  /**
   * Replaces the contents by a complete reading of the register; servers that
   * it doesn't contain have been removed. A register that an outage has just
   * emptied is handled like the outage.
   */
  replace(servers: readonly BackendServer[]): void {
    const present = new Set(servers.map(({ id }) => id));
    for (const id of [...this.active.keys(), ...this.inactive.ids]) {
      if (!present.has(id)) this.remove(id);
    }
    for (const server of servers) this.register(server, true);
  }

  private register(seen: BackendServer, isFullReading: boolean): void {
    if (this.tombstones.isOutdatedRecord(seen, isFullReading)) return;
    const known = this.newestKnown(seen.id);
    if (known !== undefined && this.isOfUnknownService(known, seen)) {
      this.drop(seen.id, "unusable entry");
      return;
    }
    const order =
      known === undefined
        ? "same"
        : compareIncarnations(known.startedAtMs, seen.startedAtMs);
    if (order === "earlier" && !this.isSilentForLong(seen.id)) return;
    if (known !== undefined && order !== "same") {
      this.replaceIncarnation(known, seen);
      return;
    }
    if (this.isStale(seen)) return;
    const startedAtMs = seen.startedAtMs ?? known?.startedAtMs;
    this.accept({ ...seen, startedAtMs }, Number.NEGATIVE_INFINITY);
  }

  private newestKnown(id: string): BackendServer | undefined {
    return this.active.get(id)?.server ?? this.inactive.get(id)?.server;
  }

  /**
   * If a runner's clock was set back between two starts, its new incarnation
   * appears to be older than the known one and would be ignored forever. Once
   * the known one has been silent for this long, no late writes are pending any
   * more, so whatever registers is alive.
   */
  private isSilentForLong(id: string): boolean {
    const seenAtMs =
      this.active.get(id)?.seenAtMs ?? this.inactive.get(id)?.sinceMs;
    if (seenAtMs === undefined) return false;
    return this.options.now() - seenAtMs >= INACTIVE_RETENTION_MS;
  }

  /**
   * A runner of a configured service doesn't move to one that isn't configured.
   * Such a record was written by somebody else, and its start time and
   * heartbeat must not block the runner's own records.
   */
  private isOfUnknownService(
    known: BackendServer,
    seen: BackendServer,
  ): boolean {
    const { isServiceNamed } = this.options;
    return isServiceNamed(known.service) && !isServiceNamed(seen.service);
  }

  /**
   * A record of the known incarnation that is older than the latest one seen.
   */
  private isStale({ id, heartbeat }: BackendServer): boolean {
    const inactive = this.inactive.get(id);
    if (inactive?.reason === "leaving") return true;
    const known = this.active.get(id)?.server ?? inactive?.server;
    return known !== undefined && heartbeat < known.heartbeat;
  }

  private replaceIncarnation(
    earlier: BackendServer,
    later: BackendServer,
  ): void {
    this.drop(earlier.id, "started again");
    this.options.onServerReplaced(earlier, later);
    this.accept(later, this.options.now() + REPLACEMENT_GRACE_MS);
  }

  private accept(server: BackendServer, graceEndsAtMs: number): void {
    const { id, service, address } = server;
    if (server.isLeaving) {
      this.drop(id, "leaving");
      this.inactive.addLeaving(server);
      this.tombstones.add(server);
      return;
    }
    if (!this.claimAddress(server)) {
      this.drop(id, "address taken");
      this.inactive.addDropped(server);
      return;
    }
    const known = this.active.get(id);
    this.inactive.delete(id);
    this.tombstones.delete(id);
    this.active.set(id, {
      server,
      seenAtMs: this.options.now(),
      dropAtMs: undefined,
      graceEndsAtMs: known?.graceEndsAtMs ?? graceEndsAtMs,
    });
    this.options.onServerRegistered?.(server);
    if (known !== undefined && hasSameDetails(known.server, server)) return;
    if (known === undefined) {
      const startedAtMs = server.startedAtMs ?? null;
      this.options.emit(211, { runner: id, service, address, startedAtMs });
    }
    this.options.onServerAvailable(server);
  }

  /**
   * An address belongs to one runner: the one that started last or, where start
   * times are unknown, the one that registered last. Returns false for a late
   * record of a runner whose address now belongs to another one. Anybody can
   * register a service that isn't configured, so such a registration neither
   * takes an address, which would cut off a working runner, nor holds one.
   */
  private claimAddress(server: BackendServer): boolean {
    if (!this.options.isServiceNamed(server.service)) return true;
    for (const [id, { server: holder }] of this.active) {
      if (id === server.id || holder.address !== server.address) continue;
      if (!this.canReassignAddress(holder, server)) return false;
      this.drop(id, "address taken");
      const order = compareIncarnations(holder.startedAtMs, server.startedAtMs);
      if (order === "later") this.options.onServerReplaced(holder, server);
    }
    return true;
  }

  /** Whether the address may move from its holder to the other server. */
  private canReassignAddress(
    holder: BackendServer,
    seen: BackendServer,
  ): boolean {
    if (!this.options.isServiceNamed(holder.service)) return true;
    const order = compareIncarnations(holder.startedAtMs, seen.startedAtMs);
    return order !== "earlier" || this.isSilentForLong(holder.id);
  }

  private remove(id: string): void {
    this.inactive.onRemoved(id);
    const entry = this.active.get(id);
    if (entry === undefined) return;
    const nowMs = this.options.now();
    const keptUntilMs = Math.max(
      this.isStoreDown
        ? nowMs + LAPSE_GRACE_MS
        : this.restoredAtMs + LAPSE_GRACE_MS,
      entry.graceEndsAtMs,
    );
    if (keptUntilMs <= nowMs) {
      this.drop(id, "removed");
      return;
    }
    // Reading the same removal again must not extend the grace period.
    if (entry.dropAtMs !== undefined) return;
    this.active.set(id, { ...entry, dropAtMs: keptUntilMs });
    const keptMs = Math.round(keptUntilMs - nowMs);
    this.options.emit(219, { runner: id, keptMs });
    this.scheduleDrop(id, keptUntilMs);
  }

  /**
   * The grace period ends by its own timer. If it ended with the next change of
   * the register, it would never end while nothing changes, and a runner that
   * has left would keep getting requests.
   */
  private scheduleDrop(id: string, dropAtMs: number): void {
    const delayMs = Math.max(0, dropAtMs - this.options.now());
    this.options.after(delayMs, () => {
      // Another outage has begun: whether the server has registered again is
      // read after it.
      if (this.isStoreDown) return;
      const isMissing = this.active.get(id)?.dropAtMs === dropAtMs;
      if (isMissing) this.drop(id, "lapsed");
    });
  }

  private drop(id: string, reason: string): void {
    const entry = this.active.get(id);
    if (entry === undefined) return;
    this.active.delete(id);
    this.inactive.addDropped(entry.server);
    this.tombstones.add(entry.server);
    this.options.emit(212, { runner: id, reason });
    this.options.onServerUnavailable(id);
  }
}

function hasSameDetails(one: BackendServer, other: BackendServer): boolean {
  return (
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.slots === other.slots &&
    one.service === other.service
  );
}
