/** Publishes which ranks form the planner's group, for the entries to read. */
import { toFailure, type Emit } from "../internal.js";
import {
  GROUPS_STREAM,
  encodeGroupNote,
  type GroupNote,
} from "../membership/runner-groups.js";
import type { KeyedWriter } from "../platform/keyed-topic.js";

export interface GroupReporterOptions {
  readonly notes: KeyedWriter;
  readonly emit: Emit;
}

export class GroupReporter {
  /** The last note written, in encoded form. */
  private lastWritten: Buffer | undefined;
  private isWriting = false;
  /** Generation of the lease under which the last note was written. */
  private generation: number | undefined;

  private constructor(private readonly options: GroupReporterOptions) {}

  static create(options: GroupReporterOptions): GroupReporter {
    return new GroupReporter(options);
  }

  /**
   * Makes the next report write the note again: the store was rolled back to an
   * older copy, or another process has planned meanwhile.
   */
  forget(): void {
    this.lastWritten = undefined;
  }

  /**
   * Call when the planner has observed its complete group. Never waits: a note
   * that can't be written is retried with the next report. `generation`: that
   * of the planner's lease.
   */
  report(note: GroupNote, generation?: number): void {
    const value = encodeGroupNote(note);
    // Another planner may have named itself between two generations.
    const isSameLease =
      note.planner === undefined || generation === this.generation;
    const isWritten = isSameLease && this.lastWritten?.equals(value) === true;
    if (this.isWriting || isWritten) return;
    this.generation = generation;
    void this.write(note, value);
  }

  private async write(note: GroupNote, value: Buffer): Promise<void> {
    const { notes, emit } = this.options;
    this.isWriting = true;
    // Set before the write, so that a `forget` during the write isn't lost.
    this.lastWritten = value;
    try {
      await notes.put(note.name, value);
      const { name: group, epoch, addresses } = note;
      emit(233, { group, epoch, ranks: addresses.length });
    } catch (error) {
      if (this.lastWritten === value) this.lastWritten = undefined;
      const reason = toFailure(error, 1901).message;
      emit(191, { stream: GROUPS_STREAM, reason });
    }
    this.isWriting = false;
  }
}
