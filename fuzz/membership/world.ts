/** A directory, its clock, and what it told: who may get work, and who ended. */
import { ignoreEvents } from "../../src/internal.js";
import { BackendServerDirectory } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";
import { VirtualTime } from "../virtual-time.js";

/** What happened, as the oracle reads it. */
export type Fact =
  | {
      readonly kind: "registered";
      readonly atMs: number;
      readonly server: BackendServer;
    }
  | {
      readonly kind: "removed";
      readonly atMs: number;
      readonly id: string;
      /** Until then the store's return may bring it back; -Infinity: no. */
      readonly outageGraceEndsMs: number;
    };

/** A life that was told to be over, and the one that took its place. */
export interface Ended {
  readonly earlier: BackendServer;
  readonly later: BackendServer;
}

export class DirectoryWorld {
  readonly facts: Fact[] = [];
  readonly serving = new Map<string, BackendServer>();
  readonly ended: Ended[] = [];
  /** Who got work before the newest registration; empty after all else. */
  before: readonly BackendServer[] = [];
  /** Whether the last step brought a registration. */
  hasJustRegistered = false;
  private readonly time = VirtualTime.create(100_000);
  private isAway = false;
  /** Starts of the store's outages, and their ends in the same order. */
  private readonly awayFromMs: number[] = [];
  private readonly awayUntilMs: number[] = [];
  private readonly directory: BackendServerDirectory;

  private constructor(private readonly lapseGraceMs: number) {
    this.directory = BackendServerDirectory.create({
      now: () => this.nowMs,
      after: (delayMs, action) => {
        this.time.after(delayMs, action);
      },
      emit: ignoreEvents,
      onServer: (server) => this.serving.set(server.id, server),
      onGone: (id) => this.serving.delete(id),
      isServiceNamed: () => true,
      onEnded: (earlier, later) => this.ended.push({ earlier, later }),
    });
  }

  static create(lapseGraceMs: number): DirectoryWorld {
    return new DirectoryWorld(lapseGraceMs);
  }

  get nowMs(): number {
    return this.time.nowMs;
  }

  register(server: BackendServer): void {
    this.before = [...this.serving.values()];
    this.hasJustRegistered = true;
    this.facts.push({ kind: "registered", atMs: this.nowMs, server });
    this.directory.apply([{ id: server.id, server }]);
  }

  remove(id: string): void {
    this.beginOther();
    this.noteRemoval(id);
    this.directory.apply([{ id, server: undefined }]);
  }

  /** The register read anew, with at most one record of each id. */
  replace(servers: readonly BackendServer[], ids: readonly string[]): void {
    this.beginOther();
    this.hasJustRegistered = servers.length > 0;
    const present = new Set(servers.map(({ id }) => id));
    for (const id of ids) if (!present.has(id)) this.noteRemoval(id);
    for (const server of servers) {
      this.facts.push({ kind: "registered", atMs: this.nowMs, server });
    }
    this.directory.replace(servers);
  }

  setAway(isAway: boolean): void {
    this.beginOther();
    if (!this.isAway && isAway) this.awayFromMs.push(this.nowMs);
    if (this.isAway && !isAway) this.awayUntilMs.push(this.nowMs);
    this.isAway = isAway;
    if (isAway) this.directory.onStoreLost();
    else this.directory.onStoreRestored(this.nowMs);
    // Nothing was read beside the return.
    this.time.advance(0);
  }

  /** The moment, or where the store is away then, its next return. */
  readonly readableFrom = (atMs: number): number => {
    const index = this.awayFromMs.findLastIndex((fromMs) => fromMs < atMs);
    if (index < 0) return atMs;
    const untilMs = this.awayUntilMs.at(index) ?? Number.POSITIVE_INFINITY;
    return Math.max(atMs, untilMs);
  };

  pass(durationMs: number): void {
    this.beginOther();
    this.time.advance(durationMs);
  }

  private beginOther(): void {
    this.before = [];
    this.hasJustRegistered = false;
  }

  private noteRemoval(id: string): void {
    const restoredAtMs = this.awayUntilMs.at(-1) ?? Number.NEGATIVE_INFINITY;
    const from = this.isAway ? this.nowMs : restoredAtMs;
    const outageGraceEndsMs = from + this.lapseGraceMs;
    this.facts.push({
      kind: "removed",
      atMs: this.nowMs,
      id,
      outageGraceEndsMs,
    });
  }
}
