/**
 * Incarnations that no longer get requests. A write to the store that got no
 * response may still be carried out seconds later: a record of an incarnation
 * that has left or was replaced would make it active again. Ended incarnations
 * are therefore remembered for longer than such a write can take.
 */
import type { Now } from "../internal.js";
import type { ScheduleAfter, BackendServer } from "./types.js";

/**
 * How long an ended incarnation is remembered, ms; late writes take seconds.
 */
export const INACTIVE_RETENTION_MS = 60_000;

/** Why an incarnation gets no requests. */
export type InactiveReason =
  /** It announced that it leaves, and never becomes active again. */
  | "leaving"
  /**
   * Its registration disappeared; if it registers again, it gets requests
   * again.
   */
  | "dropped";

export interface InactiveIncarnation {
  /** Its last registration. */
  readonly server: BackendServer;
  readonly reason: InactiveReason;
  /** When it became inactive, monotonic ms. */
  readonly sinceMs: number;
  /**
   * When it is forgotten, monotonic ms; undefined while the register still
   * contains its record.
   */
  readonly forgetAtMs: number | undefined;
}

/** The newest inactive incarnation of each id. */
export class InactiveIncarnations {
  private readonly incarnations = new Map<string, InactiveIncarnation>();

  private constructor(
    private readonly now: Now,
    private readonly after: ScheduleAfter,
  ) {}

  static create(now: Now, after: ScheduleAfter): InactiveIncarnations {
    return new InactiveIncarnations(now, after);
  }

  get size(): number {
    return this.incarnations.size;
  }

  get ids(): readonly string[] {
    return [...this.incarnations.keys()];
  }

  get(id: string): InactiveIncarnation | undefined {
    return this.incarnations.get(id);
  }

  /**
   * The record of a leaving server stays in the register until the server has
   * ended.
   */
  addLeaving(server: BackendServer): void {
    this.incarnations.set(server.id, {
      server,
      reason: "leaving",
      sinceMs: this.now(),
      forgetAtMs: undefined,
    });
  }

  /**
   * Without a start time, a later incarnation couldn't be distinguished from
   * this one.
   */
  addDropped(server: BackendServer): void {
    if (server.startedAtMs === undefined) return;
    const sinceMs = this.now();
    const forgetAtMs = sinceMs + INACTIVE_RETENTION_MS;
    const reason = "dropped";
    this.incarnations.set(server.id, {
      server,
      reason,
      sinceMs,
      forgetAtMs,
    });
    this.scheduleExpiry(server.id, forgetAtMs);
  }

  delete(id: string): void {
    this.incarnations.delete(id);
  }

  /** The register no longer contains a record of the id. */
  onRemoved(id: string): void {
    const incarnation = this.incarnations.get(id);
    if (incarnation === undefined) return;
    if (incarnation.server.startedAtMs === undefined) {
      this.incarnations.delete(id);
      return;
    }
    if (incarnation.forgetAtMs !== undefined) return;
    const forgetAtMs = this.now() + INACTIVE_RETENTION_MS;
    this.incarnations.set(id, { ...incarnation, forgetAtMs });
    this.scheduleExpiry(id, forgetAtMs);
  }

  private scheduleExpiry(id: string, forgetAtMs: number): void {
    this.after(INACTIVE_RETENTION_MS, () => {
      const isDue = this.incarnations.get(id)?.forgetAtMs === forgetAtMs;
      if (isDue) this.incarnations.delete(id);
    });
  }
}
