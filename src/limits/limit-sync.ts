/**
 * Shares the limits of runners between entries: each writes those it has heard
 * of under its name to a topic that all of them follow, and repeats the record
 * while it lists any. An entry that shares the rates of cold runners says so in
 * the same record, and repeats it rarely.
 */
import * as z from "zod";
import { toFailure, type Emit, type Now } from "../internal.js";
import type { ScheduleAfter } from "../membership/types.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord, KeyedWriter } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { LIMIT_RECORD_TTL_MS, type RunnerLimits } from "./runner-limits.js";
import { SHARING_TTL_MS, type SharingEntries } from "./sharing-entries.js";
import type { LimitRecord } from "./types.js";

/** Stream name under which unusable records are reported. */
export const LIMITS_STREAM = "limits";

/** Interval at which a record is written again, ms. */
const RENEWAL_INTERVAL_MS = LIMIT_RECORD_TTL_MS / 3;
/** Interval at which a record without limits is written again, ms. */
const SHARING_RENEWAL_INTERVAL_MS = SHARING_TTL_MS / 3;
/** Delay after a failed write, ms. */
const RETRY_DELAY_MS = 1000;
const MAXIMUM_LIMITS = 4096;
const MAXIMUM_RUNNER_ID_CHARACTERS = 128;

const recordSchema = z.object({
  limits: z
    .array(
      z.object({
        runner: z.string().min(1).max(MAXIMUM_RUNNER_ID_CHARACTERS),
        requestsPerSecond: z.number().nonnegative(),
      }),
    )
    .max(MAXIMUM_LIMITS),
  sharesColdRunners: z.boolean().optional(),
});

export function encodeLimitRecord(record: LimitRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

export interface LimitSyncOptions {
  /** Name of this entry and key of its record. */
  readonly name: string;
  readonly limits: RunnerLimits;
  readonly sharing: SharingEntries;
  readonly notes: KeyedWriter;
  readonly findings: RecordFindings;
  readonly now: Now;
  readonly after: ScheduleAfter;
  readonly emit: Emit;
}

export class LimitSync {
  private isWriting = false;
  private hasChanged = false;
  private isFailing = false;
  private isSharing = false;
  /** Identifies the latest scheduled write; earlier ones are skipped. */
  private scheduledWrite = 0;

  private constructor(private readonly options: LimitSyncOptions) {}

  static create(options: LimitSyncOptions): LimitSync {
    return new LimitSync(options);
  }

  /** Doesn't throw: unreadable records are reported as findings. */
  apply(records: readonly KeyedRecord[]): void {
    const { name, limits, sharing, findings } = this.options;
    sharing.onRead();
    for (const { key, value } of records) {
      if (key === name || value === undefined) continue;
      try {
        const record = decodeJson(recordSchema, value);
        limits.apply(key, record);
        sharing.apply(key, record.sharesColdRunners ?? false);
      } catch (error) {
        const reason = toFailure(error, 1903).message;
        findings.report({ stream: LIMITS_STREAM, key, content: value, reason });
      }
    }
  }

  /** Whether this entry takes part in the sharing of cold runners' rates. */
  setSharing(isSharing: boolean): void {
    if (isSharing === this.isSharing) return;
    this.isSharing = isSharing;
    this.publish();
  }

  /** The own record has changed, or the store may have lost it. */
  publish(): void {
    this.hasChanged = true;
    if (!this.isWriting) void this.write();
  }

  /** The store was rolled back to an older copy. */
  onStoreRolledBack(): void {
    const { limits } = this.ownRecord;
    if (limits.length > 0 || this.isSharing) this.publish();
  }

  private get ownRecord(): LimitRecord {
    const { ownRecord } = this.options.limits;
    return this.isSharing
      ? { ...ownRecord, sharesColdRunners: true }
      : ownRecord;
  }

  private async write(): Promise<void> {
    const { name, limits, sharing, notes, now, emit } = this.options;
    this.isWriting = true;
    while (this.hasChanged) {
      limits.dropUnheard();
      this.hasChanged = false;
      this.cancelScheduledWrite();
      const record = this.ownRecord;
      const startedAtMs = now();
      try {
        await notes.put(name, encodeLimitRecord(record));
        this.isFailing = false;
        limits.onWritten(startedAtMs);
        if (record.sharesColdRunners) sharing.onWritten(startedAtMs);
        if (record.limits.length > 0) this.scheduleWrite(RENEWAL_INTERVAL_MS);
        else if (this.isSharing)
          this.scheduleWrite(SHARING_RENEWAL_INTERVAL_MS);
      } catch (error) {
        const reason = toFailure(error, 1901).message;
        if (!this.isFailing) emit(191, { stream: LIMITS_STREAM, reason });
        this.isFailing = true;
        this.scheduleWrite(RETRY_DELAY_MS);
      }
    }
    this.isWriting = false;
  }

  private cancelScheduledWrite(): void {
    this.scheduledWrite += 1;
  }

  private scheduleWrite(delayMs: number): void {
    this.cancelScheduledWrite();
    const id = this.scheduledWrite;
    this.options.after(delayMs, () => {
      if (id === this.scheduledWrite) this.publish();
    });
  }
}
