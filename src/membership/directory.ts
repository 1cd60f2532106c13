/**
 * The backend servers as the store's register has them. A removed or leaving
 * one gets no new work at once. The exception is an outage of the store:
 * registrations lapse there though the runners live, and taking them for gone
 * would leave no runner at all. So what disappears around an outage is kept
 * until the runners have had time to register again.
 */
import type { Emit, Now } from "../internal.js";
import type { BackendServer, RegisterChange } from "./types.js";

/**
 * Time after the store's return in which a living runner has registered again,
 * ms. The platform states about two seconds; the rest is our reading interval.
 */
export const LAPSE_GRACE_MS = 2300;

export interface DirectoryInputs {
  readonly now: Now;
  readonly emit: Emit;
  /** A runner may get work, or what is known of it has changed. */
  readonly onServer: (server: BackendServer) => void;
  /** A runner gets no new work from here on. */
  readonly onGone: (id: string) => void;
  /** Whether the configuration in force names the service. */
  readonly isServiceNamed: (service: string) => boolean;
}

interface Entry {
  readonly server: BackendServer;
  /** When it is dropped unless it registers again; undefined while it is in. */
  readonly dropAtMs: number | undefined;
}

export class BackendServerDirectory {
  private readonly entries = new Map<string, Entry>();
  /** Leaving runners: a delayed heartbeat must not bring one back. */
  private readonly leaving = new Set<string>();
  private outage = false;
  private restoredAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly inputs: DirectoryInputs) {}

  static create(inputs: DirectoryInputs): BackendServerDirectory {
    return new BackendServerDirectory(inputs);
  }

  get size(): number {
    return this.entries.size;
  }

  onStoreLost(): void {
    this.outage = true;
  }

  onStoreRestored(): void {
    if (!this.outage) return;
    this.outage = false;
    this.restoredAtMs = this.inputs.now();
  }

  apply(changes: readonly RegisterChange[]): void {
    for (const { id, server, isUnusable } of changes) {
      if (server !== undefined) this.register(server);
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
    for (const id of [...this.entries.keys()]) {
      if (!present.has(id)) this.remove(id);
    }
    for (const server of servers) this.register(server);
  }

  /** Drops what has not registered again in time. */
  sweep(): void {
    const nowMs = this.inputs.now();
    for (const [id, { dropAtMs }] of this.entries) {
      if (dropAtMs !== undefined && dropAtMs <= nowMs) this.drop(id, "lapsed");
    }
  }

  private register(server: BackendServer): void {
    const known = this.entries.get(server.id);
    if (known !== undefined && server.heartbeat < known.server.heartbeat) {
      return;
    }
    if (server.isLeaving) {
      this.leaving.add(server.id);
      this.drop(server.id, "leaving");
    }
    if (this.leaving.has(server.id)) return;
    this.evictAddress(server);
    this.entries.set(server.id, { server, dropAtMs: undefined });
    if (known !== undefined && isSame(known.server, server)) return;
    const { id, service, address } = server;
    if (known === undefined) {
      this.inputs.emit(211, { runner: id, service, address });
    }
    this.inputs.onServer(server);
  }

  /**
   * An address names one runner: the one that registered last. A registration
   * of a service that nobody has named may come from anybody, and would leave a
   * working runner without requests until its next heartbeat.
   */
  private evictAddress(server: BackendServer): void {
    if (!this.inputs.isServiceNamed(server.service)) return;
    for (const [id, entry] of this.entries) {
      if (id === server.id || entry.server.address !== server.address) continue;
      this.drop(id, "address taken");
    }
  }

  private remove(id: string): void {
    this.leaving.delete(id);
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const nowMs = this.inputs.now();
    const graceEndsMs = this.restoredAtMs + LAPSE_GRACE_MS;
    if (!this.outage && nowMs >= graceEndsMs) {
      this.drop(id, "removed");
      return;
    }
    const dropAtMs = this.outage ? nowMs + LAPSE_GRACE_MS : graceEndsMs;
    this.entries.set(id, { server: entry.server, dropAtMs });
  }

  private drop(id: string, reason: string): void {
    if (!this.entries.delete(id)) return;
    this.inputs.emit(212, { runner: id, reason });
    this.inputs.onGone(id);
  }
}

function isSame(one: BackendServer, other: BackendServer): boolean {
  return (
    one.address === other.address &&
    one.slots === other.slots &&
    one.service === other.service
  );
}
