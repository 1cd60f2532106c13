/**
 * Runs a directory in virtual time and records its callbacks: active servers
 * and replacements.
 */
import { ignoreEvents } from "../../src/internal.js";
import { BackendServerDirectory } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";
import { VirtualTime } from "../virtual-time.js";

/** A change of the register, as input of the oracle. */
export type RegisterEvent =
  | {
      readonly kind: "registered";
      readonly atMs: number;
      readonly server: BackendServer;
    }
  | {
      readonly kind: "removed";
      readonly atMs: number;
      readonly id: string;
      /**
       * End of the grace period after an outage; -Infinity if there was no
       * outage.
       */
      readonly outageGraceEndsMs: number;
    };

/** An incarnation that was reported as ended, and the one that replaced it. */
export interface Replacement {
  readonly earlier: BackendServer;
  readonly later: BackendServer;
}

export class DirectorySimulation {
  readonly events: RegisterEvent[] = [];
  readonly active = new Map<string, BackendServer>();
  readonly replacements: Replacement[] = [];
  /** Active servers before the latest registration; empty after other steps. */
  activeBefore: readonly BackendServer[] = [];
  /** Whether the last step contained a registration. */
  hasJustRegistered = false;
  private readonly time = VirtualTime.create(100_000);
  private isStoreDown = false;
  /** Starts of the outages of the store, and their ends in the same order. */
  private readonly outageStartsMs: number[] = [];
  private readonly outageEndsMs: number[] = [];
  private readonly directory: BackendServerDirectory;

  private constructor(private readonly lapseGraceMs: number) {
    this.directory = BackendServerDirectory.create({
      now: () => this.nowMs,
      after: (delayMs, action) => {
        this.time.schedule(delayMs, action);
      },
      emit: ignoreEvents,
      onServerAvailable: (server) => this.active.set(server.id, server),
      onServerUnavailable: (id) => this.active.delete(id),
      isServiceNamed: () => true,
      onServerReplaced: (earlier, later) =>
        this.replacements.push({ earlier, later }),
    });
  }

  static create(lapseGraceMs: number): DirectorySimulation {
    return new DirectorySimulation(lapseGraceMs);
  }

  get nowMs(): number {
    return this.time.nowMs;
  }

  register(server: BackendServer): void {
    this.activeBefore = [...this.active.values()];
    this.hasJustRegistered = true;
    this.events.push({ kind: "registered", atMs: this.nowMs, server });
    this.directory.apply([{ id: server.id, server }]);
  }

  remove(id: string): void {
    this.beginOtherStep();
    this.addRemoval(id);
    this.directory.apply([{ id, server: undefined }]);
  }

  /** Replaces the register by records with distinct ids. */
  replace(servers: readonly BackendServer[], ids: readonly string[]): void {
    this.beginOtherStep();
    this.hasJustRegistered = servers.length > 0;
    const present = new Set(servers.map(({ id }) => id));
    for (const id of ids) if (!present.has(id)) this.addRemoval(id);
    for (const server of servers) {
      this.events.push({ kind: "registered", atMs: this.nowMs, server });
    }
    this.directory.replace(servers);
  }

  setStoreDown(isDown: boolean): void {
    this.beginOtherStep();
    if (!this.isStoreDown && isDown) this.outageStartsMs.push(this.nowMs);
    if (this.isStoreDown && !isDown) this.outageEndsMs.push(this.nowMs);
    this.isStoreDown = isDown;
    if (isDown) this.directory.onStoreLost();
    else this.directory.onStoreRestored(this.nowMs);
    // Runs timers that are due, as nothing was read after the outage.
    this.time.advance(0);
  }

  /** The given time, or the end of the outage if the store is down then. */
  readonly readableFrom = (atMs: number): number => {
    const index = this.outageStartsMs.findLastIndex((fromMs) => fromMs < atMs);
    if (index < 0) return atMs;
    const untilMs = this.outageEndsMs.at(index) ?? Number.POSITIVE_INFINITY;
    return Math.max(atMs, untilMs);
  };

  advance(durationMs: number): void {
    this.beginOtherStep();
    this.time.advance(durationMs);
  }

  private beginOtherStep(): void {
    this.activeBefore = [];
    this.hasJustRegistered = false;
  }

  private addRemoval(id: string): void {
    const restoredAtMs = this.outageEndsMs.at(-1) ?? Number.NEGATIVE_INFINITY;
    const fromMs = this.isStoreDown ? this.nowMs : restoredAtMs;
    const outageGraceEndsMs = fromMs + this.lapseGraceMs;
    this.events.push({
      kind: "removed",
      atMs: this.nowMs,
      id,
      outageGraceEndsMs,
    });
  }
}
