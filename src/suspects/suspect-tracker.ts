/**
 * Suspect handling of one entry: its own observations, crash detection and
 * sharing with the other entries.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import type { ScheduleAfter } from "../membership/types.js";
import type { KeyedRecord, KeyedWriter } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { CrashDetector, type CrashDetectorOptions } from "./crash-detector.js";
import { LostPromptRuns } from "./lost-prompt-runs.js";
import { SuspectSync } from "./suspect-sync.js";
import { SuspectRequests } from "./suspect-requests.js";

export interface SuspectTrackerOptions {
  /** Name of this entry. */
  readonly name: string;
  readonly notes: KeyedWriter;
  readonly findings: RecordFindings;
  readonly after: ScheduleAfter;
  readonly portState: CrashDetectorOptions["portState"];
  /** Unix ms. */
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
}

export class SuspectTracker {
  readonly requests: SuspectRequests;
  readonly promptRuns: LostPromptRuns;
  readonly crashes: CrashDetector;
  readonly now: Now;
  private readonly sync: SuspectSync;

  private constructor(private readonly options: SuspectTrackerOptions) {
    const { now, emit, portState } = options;
    this.now = now;
    this.requests = SuspectRequests.create(now);
    this.promptRuns = LostPromptRuns.create(now);
    this.sync = SuspectSync.create({ ...options, suspects: this.requests });
    this.crashes = CrashDetector.create({
      now,
      emit,
      suspects: this.requests,
      promptRuns: this.promptRuns,
      portState,
      onEvidence: () => {
        this.updateGauge();
        this.sync.schedulePublish();
      },
    });
  }

  static create(options: SuspectTrackerOptions): SuspectTracker {
    return new SuspectTracker(options);
  }

  /** A suspect completed. `request`: attempt id of its caller. */
  onAcquitted(request: string): void {
    this.options.emit(232, { request });
    this.sync.schedulePublish();
  }

  /** Applies records of this entry and of the others. */
  apply(records: readonly KeyedRecord[]): void {
    this.sync.apply(records);
    this.updateGauge();
  }

  onStoreRolledBack(): void {
    this.sync.onStoreRolledBack();
  }

  private updateGauge(): void {
    this.options.measurements.set("suspectRequests", this.requests.size);
  }
}
