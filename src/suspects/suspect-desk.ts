/**
 * All that one entry does about suspects: what it has seen, how it finds out
 * about crashes, and what it tells the other entries.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import type { After } from "../membership/types.js";
import type { KeyedRecord, KeyedWriter } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { CrashWatch, type CrashWatchOptions } from "./crash-watch.js";
import { SuspectNotes } from "./suspect-notes.js";
import { SuspectRequests } from "./suspect-requests.js";

export interface SuspectDeskOptions {
  /** Of this entry. */
  readonly name: string;
  readonly notes: KeyedWriter;
  readonly findings: RecordFindings;
  readonly after: After;
  readonly portState: CrashWatchOptions["portState"];
  /** Unix ms. */
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
}

export class SuspectDesk {
  readonly requests: SuspectRequests;
  readonly crashes: CrashWatch;
  readonly now: Now;
  private readonly notes: SuspectNotes;

  private constructor(private readonly options: SuspectDeskOptions) {
    const { now, emit, portState } = options;
    this.now = now;
    this.requests = SuspectRequests.create(now);
    this.notes = SuspectNotes.create({ ...options, suspects: this.requests });
    this.crashes = CrashWatch.create({
      now,
      emit,
      suspects: this.requests,
      portState,
      onEvidence: () => {
        this.count();
        this.notes.schedule();
      },
    });
  }

  static create(options: SuspectDeskOptions): SuspectDesk {
    return new SuspectDesk(options);
  }

  /** `request`: attempt id of a caller whose request was a suspect. */
  onAcquitted(request: string): void {
    this.options.emit(232, { request });
    this.notes.schedule();
  }

  /** Records of this entry and the others. */
  take(records: readonly KeyedRecord[]): void {
    this.notes.take(records);
    this.count();
  }

  onStoreReturned(): void {
    this.notes.onStoreReturned();
  }

  private count(): void {
    this.options.measurements.set("suspectRequests", this.requests.size);
  }
}
