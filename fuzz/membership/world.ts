/** A directory, its clock, and what it told: who may get work, and who ended. */
import { ignoreEvents } from "../../src/internal.js";
import { BackendServerDirectory } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";

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
  nowMs = 100_000;
  readonly facts: Fact[] = [];
  readonly serving = new Map<string, BackendServer>();
  readonly ended: Ended[] = [];
  /** Who got work before the newest registration; empty after all else. */
  before: readonly BackendServer[] = [];
  private isAway = false;
  private restoredAtMs = Number.NEGATIVE_INFINITY;
  private readonly directory: BackendServerDirectory;

  private constructor(private readonly lapseGraceMs: number) {
    this.directory = BackendServerDirectory.create({
      now: () => this.nowMs,
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

  register(server: BackendServer): void {
    this.before = [...this.serving.values()];
    this.facts.push({ kind: "registered", atMs: this.nowMs, server });
    this.directory.apply([{ id: server.id, server }]);
    this.directory.sweep();
  }

  remove(id: string): void {
    this.before = [];
    this.noteRemoval(id);
    this.directory.apply([{ id, server: undefined }]);
    this.directory.sweep();
  }

  /** The register read anew, with at most one record of each id. */
  replace(servers: readonly BackendServer[], ids: readonly string[]): void {
    this.before = [];
    const present = new Set(servers.map(({ id }) => id));
    for (const id of ids) if (!present.has(id)) this.noteRemoval(id);
    for (const server of servers) {
      this.facts.push({ kind: "registered", atMs: this.nowMs, server });
    }
    this.directory.replace(servers);
    this.directory.sweep();
  }

  setAway(isAway: boolean): void {
    this.before = [];
    if (this.isAway && !isAway) this.restoredAtMs = this.nowMs;
    this.isAway = isAway;
    if (isAway) this.directory.onStoreLost();
    else this.directory.onStoreRestored();
  }

  pass(durationMs: number): void {
    this.before = [];
    this.nowMs += durationMs;
    this.directory.sweep();
  }

  private noteRemoval(id: string): void {
    const from = this.isAway ? this.nowMs : this.restoredAtMs;
    const outageGraceEndsMs = from + this.lapseGraceMs;
    this.facts.push({
      kind: "removed",
      atMs: this.nowMs,
      id,
      outageGraceEndsMs,
    });
  }
}
