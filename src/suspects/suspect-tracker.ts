/**
 * Suspect handling of one entry: its own observations, crash detection and
 * sharing with the other entries.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import type { ScheduleAfter } from "../membership/types.js";
import type { KeyedRecord, KeyedWriter } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { CrashDetector, type CrashDetectorOptions } from "./crash-detector.js";
import { canBeCause } from "./crash-evidence.js";
import { SuspectParts } from "./suspect-parts.js";
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
  readonly parts: SuspectParts;
  readonly crashes: CrashDetector;
  readonly now: Now;
  private readonly sync: SuspectSync;
  private reportedParts: readonly string[] = [];

  private constructor(private readonly options: SuspectTrackerOptions) {
    const { now, emit, portState } = options;
    this.now = now;
    this.parts = SuspectParts.create(now);
    this.requests = SuspectRequests.create(now, {
      isExplained: (run) => this.parts.isExplained(run),
      canBeCause,
      harmlessAt: (digest) => this.parts.harmlessAt(digest),
    });
    this.sync = SuspectSync.create({
      ...options,
      suspects: this.requests,
      parts: this.parts,
    });
    this.crashes = CrashDetector.create({
      now,
      emit,
      suspects: this.requests,
      parts: this.parts,
      portState,
      onEvidence: () => {
        this.reportState();
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
    this.reportState();
  }

  /** A run with these parts of a prompt has survived. */
  onSurvived(parts: readonly string[]): void {
    if (!this.parts.onSurvived(parts)) return;
    this.reportState();
    this.sync.schedulePublish();
  }

  onStoreRolledBack(): void {
    this.sync.onStoreRolledBack();
  }

  private reportState(): void {
    const { emit, measurements } = this.options;
    const { withheldParts } = this.parts;
    measurements.set("suspectRequests", this.requests.size);
    measurements.set("withheldParts", withheldParts.length);
    const known = this.reportedParts;
    for (const part of withheldParts) {
      if (!known.includes(part)) emit(237, { part });
    }
    for (const part of known) {
      if (!withheldParts.includes(part)) emit(238, { part });
    }
    this.reportedParts = withheldParts;
  }
}
