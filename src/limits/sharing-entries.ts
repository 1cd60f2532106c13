/**
 * The entries among which the rates of cold runners are divided: those whose
 * records say that they take part. Each entry writes its record when it starts
 * and rarely again, so all know each other before any runner is cold.
 */
import type { Now } from "../internal.js";

export interface SharingEntriesInputs {
  /** Name of this entry. */
  readonly name: string;
  readonly now: Now;
}

/** Time for which an entry counts after its record was read or written, ms. */
export const SHARING_TTL_MS = 180_000;
/**
 * Time after this entry's record was first written until its view of the others
 * counts, ms: entries that start together learn of each other meanwhile.
 */
export const SHARING_SETTLING_MS = 1000;

export class SharingEntries {
  /** Until when each other entry counts, monotonic ms. */
  private readonly others = new Map<string, number>();
  private knownSinceMs = Number.POSITIVE_INFINITY;
  private writtenUntilMs = Number.NEGATIVE_INFINITY;
  private hasRead = false;
  /** Replaced when an entry joins or leaves. */
  private knownNames: readonly string[] | undefined;
  /** While the store can't be read, the others can't renew their records. */
  private isStoreLost = false;

  private constructor(private readonly inputs: SharingEntriesInputs) {}

  static create(inputs: SharingEntriesInputs): SharingEntries {
    return new SharingEntries(inputs);
  }

  /**
   * All entries that share, this one included; undefined if they aren't known
   * or can't know of this one. The same array until an entry joins or leaves.
   */
  get names(): readonly string[] | undefined {
    const nowMs = this.inputs.now();
    const isCounted = nowMs >= this.knownSinceMs && nowMs < this.writtenUntilMs;
    if (!isCounted) return undefined;
    this.dropExpired(nowMs);
    this.knownNames ??= [this.inputs.name, ...this.others.keys()];
    return this.knownNames;
  }

  /** A record of another entry was read. */
  apply(entry: string, isSharing: boolean): void {
    if (entry === this.inputs.name) return;
    if (isSharing !== this.others.has(entry)) this.knownNames = undefined;
    if (isSharing) this.others.set(entry, this.inputs.now() + SHARING_TTL_MS);
    else this.others.delete(entry);
  }

  /** The whole topic has been read, or a change of it. */
  onRead(): void {
    this.hasRead = true;
    if (this.isStoreLost) {
      this.isStoreLost = false;
      this.extendAll();
    }
    this.settle();
  }

  /** The own record was written by a call that began at `startedAtMs`. */
  onWritten(startedAtMs: number): void {
    this.writtenUntilMs = startedAtMs + SHARING_TTL_MS;
    this.settle();
  }

  onStoreLost(): void {
    this.isStoreLost = true;
  }

  private settle(): void {
    const isKnown = this.hasRead && Number.isFinite(this.writtenUntilMs);
    if (!isKnown || Number.isFinite(this.knownSinceMs)) return;
    this.knownSinceMs = this.inputs.now() + SHARING_SETTLING_MS;
  }

  private extendAll(): void {
    const untilMs = this.inputs.now() + SHARING_TTL_MS;
    for (const entry of this.others.keys()) this.others.set(entry, untilMs);
  }

  private dropExpired(nowMs: number): void {
    if (this.isStoreLost) return;
    for (const [entry, untilMs] of this.others) {
      if (untilMs > nowMs) continue;
      this.others.delete(entry);
      this.knownNames = undefined;
    }
  }
}
