/** Writes down which ranks of a group are slow, for the entries to read. */
import { toFailure, type Emit, type Now } from "../internal.js";
import { orderOfLives, type LifeStart } from "../membership/life.js";
import {
  NOTE_LASTS_MS,
  SLOW_FROM,
  encodePaceNote,
  type PaceNote,
} from "../membership/slow-runners.js";
import type { KeyedWriter } from "../platform/keyed-topic.js";

/** A slow rank's note is written again well before it lapses, ms. */
const REFRESH_MS = NOTE_LASTS_MS / 2;
/** Below this a slow rank has recovered; in between, nothing changes. */
const NORMAL_BELOW = 1.25;

/** Notes that the store may lose when it comes back from an older copy, ms. */
const REWRITTEN_MS = 60_000;

export interface PaceReporterOptions {
  readonly notes: KeyedWriter;
  readonly now: Now;
  readonly emit: Emit;
}

/** The last note of a slow rank. */
interface Noted {
  readonly startedAtMs: LifeStart;
  /** Monotonic, ms. */
  readonly atMs: number;
}

export class PaceReporter {
  /** Slow ranks by address. */
  private readonly noted = new Map<string, Noted>();
  /** When a rank's note was last written, by address, monotonic ms. */
  private readonly written = new Map<string, number>();
  /** Written before the store came back: they may be gone. */
  private readonly lost = new Set<string>();
  private isWriting = false;

  private constructor(private readonly options: PaceReporterOptions) {}

  static create(options: PaceReporterOptions): PaceReporter {
    return new PaceReporter(options);
  }

  /**
   * The store came back from an older copy. Notes are written again, also those
   * of ranks that have recovered, which the copy may show slow.
   */
  onStoreReturned(): void {
    const sinceMs = this.options.now() - REWRITTEN_MS;
    for (const [address, atMs] of this.written) {
      if (atMs >= sinceMs) this.lost.add(address);
    }
  }

  /**
   * Takes what the ranks show now. Never waits: a note that can't be written is
   * written after the next look.
   */
  look(ranks: readonly PaceNote[]): void {
    const changed = ranks.filter((rank) => this.isDue(rank));
    if (changed.length === 0 || this.isWriting) return;
    void this.write(changed);
  }

  private isDue({ address, slowness, startedAtMs }: PaceNote): boolean {
    if (this.lost.has(address)) return true;
    const noted = this.noted.get(address);
    if (noted === undefined) return slowness >= SLOW_FROM;
    const order = orderOfLives(noted.startedAtMs, startedAtMs);
    const sinceMs = this.options.now() - noted.atMs;
    // Unless the note has lapsed unrenewed: then a clock was set back.
    if (order === "earlier") return sinceMs >= NOTE_LASTS_MS;
    // The note of an earlier life says nothing of this one.
    if (order === "later" || slowness < NORMAL_BELOW) return true;
    return sinceMs >= REFRESH_MS;
  }

  private async write(changed: readonly PaceNote[]): Promise<void> {
    const { notes, now, emit } = this.options;
    this.isWriting = true;
    try {
      for (const note of changed) {
        await notes.put(note.address, encodePaceNote(note));
        const { address, slowness, startedAtMs } = note;
        this.noteWritten(address);
        if (!this.isNoted(note) || slowness < SLOW_FROM) {
          emit(224, { address, slowness });
        }
        const isSlow = slowness >= this.slowFrom(note);
        if (isSlow) this.noted.set(address, { startedAtMs, atMs: now() });
        else this.noted.delete(address);
      }
    } catch (error) {
      emit(191, { stream: "pace", reason: toFailure(error, 1901).message });
    }
    this.isWriting = false;
  }

  private noteWritten(address: string): void {
    this.written.set(address, this.options.now());
    this.lost.delete(address);
  }

  /** Whether this life of the rank was slow by its last note. */
  private isNoted({ address, startedAtMs }: PaceNote): boolean {
    const noted = this.noted.get(address);
    if (noted === undefined) return false;
    return orderOfLives(noted.startedAtMs, startedAtMs) === "same";
  }

  private slowFrom(note: PaceNote): number {
    return this.isNoted(note) ? NORMAL_BELOW : SLOW_FROM;
  }
}
