/** Publishes which ranks of a group are slow, for the entries to read. */
import { toFailure, type Emit, type Now } from "../internal.js";
import {
  compareIncarnations,
  type IncarnationStart,
} from "../membership/incarnation.js";
import {
  PACE_NOTE_TTL_MS,
  SLOW_THRESHOLD,
  encodePaceNote,
  type PaceNote,
} from "../membership/slow-runners.js";
import type { KeyedWriter } from "../platform/keyed-topic.js";

/** A slow rank's note is refreshed well before it expires, ms. */
const REFRESH_INTERVAL_MS = PACE_NOTE_TTL_MS / 2;
/**
 * Slowness below which a slow rank has recovered. Between this and
 * `SLOW_THRESHOLD` its status stays as it was.
 */
const RECOVERED_BELOW = 1.25;

/**
 * Notes written within this time may be lost when the store is rolled back to
 * an older copy, ms.
 */
const STORE_LOSS_WINDOW_MS = 60_000;

export interface PaceReporterOptions {
  readonly notes: KeyedWriter;
  readonly now: Now;
  readonly emit: Emit;
}

/** The last note published for a slow rank. */
interface WrittenNote {
  readonly startedAtMs: IncarnationStart;
  /** Monotonic, ms. */
  readonly atMs: number;
}

export class PaceReporter {
  /** Published notes of slow ranks, by address. */
  private readonly slowNotes = new Map<string, WrittenNote>();
  /** Time of the last write for each address, monotonic, ms. */
  private readonly writtenAtMs = new Map<string, number>();
  /** Addresses whose notes may have been lost in a rollback of the store. */
  private readonly possiblyLost = new Set<string>();
  private isWriting = false;

  private constructor(private readonly options: PaceReporterOptions) {}

  static create(options: PaceReporterOptions): PaceReporter {
    return new PaceReporter(options);
  }

  /**
   * Call after the store was rolled back to an older copy. Recent notes are
   * written again, including those of recovered ranks, which the copy may list
   * as slow.
   */
  onStoreRolledBack(): void {
    const sinceMs = this.options.now() - STORE_LOSS_WINDOW_MS;
    for (const [address, atMs] of this.writtenAtMs) {
      if (atMs >= sinceMs) this.possiblyLost.add(address);
    }
  }

  /**
   * Publishes changes in the ranks' current pace. Never waits: a note that
   * can't be written is retried with the next report.
   */
  report(ranks: readonly PaceNote[]): void {
    const changed = ranks.filter((rank) => this.isDue(rank));
    if (changed.length === 0 || this.isWriting) return;
    void this.write(changed);
  }

  private isDue({ address, slowness, startedAtMs }: PaceNote): boolean {
    if (this.possiblyLost.has(address)) return true;
    const noted = this.slowNotes.get(address);
    if (noted === undefined) return slowness >= SLOW_THRESHOLD;
    const order = compareIncarnations(noted.startedAtMs, startedAtMs);
    const sinceMs = this.options.now() - noted.atMs;
    // An expired, unrefreshed note means that the clock was set back.
    if (order === "earlier") return sinceMs >= PACE_NOTE_TTL_MS;
    // A note about an earlier incarnation doesn't apply to this one.
    if (order === "later" || slowness < RECOVERED_BELOW) return true;
    return sinceMs >= REFRESH_INTERVAL_MS;
  }

  private async write(changed: readonly PaceNote[]): Promise<void> {
    const { notes, now, emit } = this.options;
    this.isWriting = true;
    try {
      for (const note of changed) {
        await notes.put(note.address, encodePaceNote(note));
        const { address, slowness, startedAtMs } = note;
        this.markWritten(address);
        if (!this.hasSlowNote(note) || slowness < SLOW_THRESHOLD) {
          emit(224, { address, slowness });
        }
        const isSlow = slowness >= this.slowThreshold(note);
        if (isSlow) this.slowNotes.set(address, { startedAtMs, atMs: now() });
        else this.slowNotes.delete(address);
      }
    } catch (error) {
      emit(191, { stream: "pace", reason: toFailure(error, 1901).message });
    }
    this.isWriting = false;
  }

  private markWritten(address: string): void {
    this.writtenAtMs.set(address, this.options.now());
    this.possiblyLost.delete(address);
  }

  /** Whether the last note lists this incarnation of the rank as slow. */
  private hasSlowNote({ address, startedAtMs }: PaceNote): boolean {
    const noted = this.slowNotes.get(address);
    if (noted === undefined) return false;
    return compareIncarnations(noted.startedAtMs, startedAtMs) === "same";
  }

  private slowThreshold(note: PaceNote): number {
    return this.hasSlowNote(note) ? RECOVERED_BELOW : SLOW_THRESHOLD;
  }
}
