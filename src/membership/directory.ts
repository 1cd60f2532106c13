/**
 * The backend servers as the store's register has them. A removed or leaving
 * one gets no new work at once. The exception is an outage of the store:
 * registrations lapse there though the runners live, and taking them for gone
 * would leave no runner at all. So what disappears around an outage is kept
 * until the runners have had time to register again.
 *
 * A runner may start again under its id. A later life replaces an earlier one
 * at once, whatever its heartbeat, its address and the standing of the earlier
 * one; a late record of an earlier life changes nothing.
 *
 * The store may come back from an older copy. What has been seen here holds all
 * the same: who has left gets nothing, though the copy shows it ready, and who
 * isn't in the copy is kept until it has had time to register again.
 */
import type { Emit, Now } from "../internal.js";
import { EndedServers } from "./ended-servers.js";
import { orderOfLives } from "./life.js";
import { PAST_LIFE_KEPT_MS, PastLives } from "./past-lives.js";
import type { After, BackendServer, RegisterChange } from "./types.js";

/**
 * Time after the store's return in which a living runner has registered again,
 * ms: about two seconds, as the platform states, and the time in which this is
 * read. A VM that has reached the store for three seconds has to know who left.
 */
export const LAPSE_GRACE_MS = 2900;

/**
 * After a later life has replaced an earlier one, ms: a removal within this
 * time is the earlier one's that came late, because no life is silent for
 * several heartbeats at its very start. Should the later life have left after
 * all, it may be sent work for as long as a leaving one; two readings of the
 * register and this stay within that (`register-interval`).
 */
export const REPLACED_GRACE_MS = 600;

export interface DirectoryInputs {
  readonly now: Now;
  readonly after: After;
  readonly emit: Emit;
  /** A runner may get work, or what is known of it has changed. */
  readonly onServer: (server: BackendServer) => void;
  /** A runner gets no new work from here on. */
  readonly onGone: (id: string) => void;
  /**
   * The earlier life is over, because the later one has its id or its address:
   * nothing that still runs there will come to an end.
   */
  readonly onEnded: (earlier: BackendServer, later: BackendServer) => void;
  /** Whether the configuration in force names the service. */
  readonly isServiceNamed: (service: string) => boolean;
}

interface Entry {
  readonly server: BackendServer;
  /** When its life registered last, monotonic ms. */
  readonly seenAtMs: number;
  /** When it is dropped unless it registers again; undefined while it is in. */
  readonly dropAtMs: number | undefined;
  /** Until then a removal is taken for that of an earlier life, ms. */
  readonly settledAtMs: number;
}

export class BackendServerDirectory {
  private readonly entries = new Map<string, Entry>();
  private readonly past: PastLives;
  private readonly ended: EndedServers;
  private outage = false;
  private restoredAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly inputs: DirectoryInputs) {
    this.past = PastLives.create(inputs.now, inputs.after);
    this.ended = EndedServers.create(inputs.now, inputs.after);
  }

  static create(inputs: DirectoryInputs): BackendServerDirectory {
    return new BackendServerDirectory(inputs);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Lives without work that are still remembered. */
  get pastCount(): number {
    return this.past.size;
  }

  onStoreLost(): void {
    this.outage = true;
  }

  /**
   * Comes before what was read then is applied. The grace counts from the last
   * call that failed, monotonic ms: counted from the first that didn't, which
   * may come a second after the store's return, it would end too late.
   */
  onStoreRestored(lastFailedAtMs: number): void {
    if (!this.outage) return;
    this.outage = false;
    this.restoredAtMs = lastFailedAtMs;
    for (const [id, { dropAtMs }] of this.entries) {
      if (dropAtMs !== undefined) this.dropLater(id, dropAtMs);
    }
  }

  /**
   * The store came back from an older copy; the whole register follows. The
   * grace counts from the last call before that was seen, monotonic ms.
   */
  onStoreReturned(lastBeforeMs: number): void {
    this.ended.onStoreReturned();
    this.restoredAtMs = Math.max(this.restoredAtMs, lastBeforeMs);
  }

  apply(changes: readonly RegisterChange[]): void {
    for (const { id, server, isUnusable } of changes) {
      if (server !== undefined) this.register(server, false);
      // No lapse: the record is there, so an outage explains nothing.
      else if (isUnusable) this.drop(id, "unusable entry");
      else this.remove(id);
    }
  }

  /**
   * The whole register, read anew: what it doesn't hold has been removed. A
   * register that was just emptied by an outage is treated like the outage.
   */
  replace(servers: readonly BackendServer[]): void {
    const present = new Set(servers.map(({ id }) => id));
    for (const id of [...this.entries.keys(), ...this.past.ids]) {
      if (!present.has(id)) this.remove(id);
    }
    for (const server of servers) this.register(server, true);
  }

  private register(seen: BackendServer, isWholeReading: boolean): void {
    if (this.ended.isBroughtBack(seen, isWholeReading)) return;
    const known = this.newestOf(seen.id);
    if (known !== undefined && this.isForeign(known, seen)) {
      this.drop(seen.id, "unusable entry");
      return;
    }
    const order =
      known === undefined
        ? "same"
        : orderOfLives(known.startedAtMs, seen.startedAtMs);
    if (order === "earlier" && !this.isSilent(seen.id)) return;
    if (known !== undefined && order !== "same") {
      this.begin(known, seen);
      return;
    }
    if (this.isStale(seen)) return;
    const startedAtMs = seen.startedAtMs ?? known?.startedAtMs;
    this.take({ ...seen, startedAtMs }, Number.NEGATIVE_INFINITY);
  }

  private newestOf(id: string): BackendServer | undefined {
    return this.entries.get(id)?.server ?? this.past.get(id)?.server;
  }

  /**
   * A runner whose clock was set back between two starts seems to have started
   * before the life that is known, and would be passed over for good. Late
   * writes are over by this time: what registers is what lives.
   */
  private isSilent(id: string): boolean {
    const seenAtMs =
      this.entries.get(id)?.seenAtMs ?? this.past.get(id)?.sinceMs;
    if (seenAtMs === undefined) return false;
    return this.inputs.now() - seenAtMs >= PAST_LIFE_KEPT_MS;
  }

  /**
   * A runner of a service that is named doesn't change to one that nobody has
   * named: the record isn't its own, and its start and heartbeat must not hold
   * up the runner's.
   */
  private isForeign(known: BackendServer, seen: BackendServer): boolean {
    const { isServiceNamed } = this.inputs;
    return isServiceNamed(known.service) && !isServiceNamed(seen.service);
  }

  /** A record of the life that is known, from before what is known of it. */
  private isStale({ id, heartbeat }: BackendServer): boolean {
    const past = this.past.get(id);
    if (past?.standing === "leaving") return true;
    const known = this.entries.get(id)?.server ?? past?.server;
    return known !== undefined && heartbeat < known.heartbeat;
  }

  private begin(earlier: BackendServer, later: BackendServer): void {
    this.drop(earlier.id, "started again");
    this.inputs.onEnded(earlier, later);
    this.take(later, this.inputs.now() + REPLACED_GRACE_MS);
  }

  private take(server: BackendServer, settledAtMs: number): void {
    const { id, service, address } = server;
    if (server.isLeaving) {
      this.drop(id, "leaving");
      this.past.addLeaving(server);
      this.ended.add(server);
      return;
    }
    if (!this.takeAddress(server)) {
      this.drop(id, "address taken");
      this.past.addDropped(server);
      return;
    }
    const known = this.entries.get(id);
    this.past.delete(id);
    this.ended.delete(id);
    this.entries.set(id, {
      server,
      seenAtMs: this.inputs.now(),
      dropAtMs: undefined,
      settledAtMs: known?.settledAtMs ?? settledAtMs,
    });
    if (known !== undefined && isSame(known.server, server)) return;
    if (known === undefined) {
      const startedAtMs = server.startedAtMs ?? null;
      this.inputs.emit(211, { runner: id, service, address, startedAtMs });
    }
    this.inputs.onServer(server);
  }

  /**
   * An address names one runner: the one that started last, or where that isn't
   * told, the one that registered last. False for a late record of a runner
   * whose address has gone to another one. A registration of a service that
   * nobody has named may come from anybody: it takes no address, which would
   * leave a working runner without requests, and holds none.
   */
  private takeAddress(server: BackendServer): boolean {
    if (!this.inputs.isServiceNamed(server.service)) return true;
    for (const [id, { server: holder }] of this.entries) {
      if (id === server.id || holder.address !== server.address) continue;
      if (!this.mayLose(holder, server)) return false;
      this.drop(id, "address taken");
      const order = orderOfLives(holder.startedAtMs, server.startedAtMs);
      if (order === "later") this.inputs.onEnded(holder, server);
    }
    return true;
  }

  /** Whether the address of the one may go to the other. */
  private mayLose(holder: BackendServer, seen: BackendServer): boolean {
    if (!this.inputs.isServiceNamed(holder.service)) return true;
    const order = orderOfLives(holder.startedAtMs, seen.startedAtMs);
    return order !== "earlier" || this.isSilent(holder.id);
  }

  private remove(id: string): void {
    this.past.onRemoved(id);
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const nowMs = this.inputs.now();
    const keptUntilMs = Math.max(
      this.outage ? nowMs + LAPSE_GRACE_MS : this.restoredAtMs + LAPSE_GRACE_MS,
      entry.settledAtMs,
    );
    if (keptUntilMs <= nowMs) {
      this.drop(id, "removed");
      return;
    }
    // A removal that is read once more must not put it off.
    if (entry.dropAtMs !== undefined) return;
    this.entries.set(id, { ...entry, dropAtMs: keptUntilMs });
    const keptMs = Math.round(keptUntilMs - nowMs);
    this.inputs.emit(219, { runner: id, keptMs });
    this.dropLater(id, keptUntilMs);
  }

  /**
   * The grace ends by a timer of its own. Ended by the next change of the
   * register, it would never end in one in which nothing changes, and a runner
   * that has left would get requests for good.
   */
  private dropLater(id: string, dropAtMs: number): void {
    const delayMs = Math.max(0, dropAtMs - this.inputs.now());
    this.inputs.after(delayMs, () => {
      // Another outage: whether it has registered again is read after that.
      if (this.outage) return;
      const isMissing = this.entries.get(id)?.dropAtMs === dropAtMs;
      if (isMissing) this.drop(id, "lapsed");
    });
  }

  private drop(id: string, reason: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    this.entries.delete(id);
    this.past.addDropped(entry.server);
    this.ended.add(entry.server);
    this.inputs.emit(212, { runner: id, reason });
    this.inputs.onGone(id);
  }
}

function isSame(one: BackendServer, other: BackendServer): boolean {
  return (
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.slots === other.slots &&
    one.service === other.service
  );
}
