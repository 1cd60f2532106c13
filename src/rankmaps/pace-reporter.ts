/** Writes down which ranks of a group are slow, for the entries to read. */
import { toFailure, type Emit, type Now } from "../internal.js";
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

export interface PaceReporterOptions {
  readonly notes: KeyedWriter;
  readonly now: Now;
  readonly emit: Emit;
}

export class PaceReporter {
  /** Slow ranks, with the monotonic time of their last note, ms. */
  private readonly notedAtMs = new Map<string, number>();
  private isWriting = false;

  private constructor(private readonly options: PaceReporterOptions) {}

  static create(options: PaceReporterOptions): PaceReporter {
    return new PaceReporter(options);
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

  private isDue({ address, slowness }: PaceNote): boolean {
    const notedAtMs = this.notedAtMs.get(address);
    if (notedAtMs === undefined) return slowness >= SLOW_FROM;
    if (slowness < NORMAL_BELOW) return true;
    return this.options.now() - notedAtMs >= REFRESH_MS;
  }

  private async write(changed: readonly PaceNote[]): Promise<void> {
    const { notes, now, emit } = this.options;
    this.isWriting = true;
    try {
      for (const note of changed) {
        await notes.put(note.address, encodePaceNote(note));
        const { address, slowness } = note;
        if (!this.notedAtMs.has(address) || slowness < SLOW_FROM) {
          emit(224, { address, slowness });
        }
        if (slowness < NORMAL_BELOW) this.notedAtMs.delete(address);
        else this.notedAtMs.set(address, now());
      }
    } catch (error) {
      emit(191, { stream: "pace", reason: toFailure(error, 1901).message });
    }
    this.isWriting = false;
  }
}
