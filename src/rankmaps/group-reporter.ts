/** Writes down which ranks form the planner's group, for the entries to read. */
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
  /** The last note that the store has taken, as it was written. */
  private written: Buffer | undefined;
  private isWriting = false;

  private constructor(private readonly options: GroupReporterOptions) {}

  static create(options: GroupReporterOptions): GroupReporter {
    return new GroupReporter(options);
  }

  /**
   * The store may not hold the note any more: it came back from an older copy, or
   * another process has planned meanwhile.
   */
  forget(): void {
    this.written = undefined;
  }

  /**
   * The planner has seen its whole group. Never waits: a note that can't be
   * written is written after the next look.
   */
  look(note: GroupNote): void {
    const value = encodeGroupNote(note);
    if (this.isWriting || this.written?.equals(value) === true) return;
    void this.write(note, value);
  }

  private async write(note: GroupNote, value: Buffer): Promise<void> {
    const { notes, emit } = this.options;
    this.isWriting = true;
    // Undone where the store comes back from an older copy while it is written.
    this.written = value;
    try {
      await notes.put(note.name, value);
      const { name: group, epoch, addresses } = note;
      emit(233, { group, epoch, ranks: addresses.length });
    } catch (error) {
      if (this.written === value) this.written = undefined;
      const reason = toFailure(error, 1901).message;
      emit(191, { stream: GROUPS_STREAM, reason });
    }
    this.isWriting = false;
  }
}
