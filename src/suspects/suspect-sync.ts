/**
 * Shares suspects between entries: each writes its own observations under its
 * name to a topic that all of them follow. While the store is unavailable, an
 * entry relies on its own observations.
 */
import * as z from "zod";
import { toFailure, type Emit } from "../internal.js";
import type { ScheduleAfter } from "../membership/types.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord, KeyedWriter } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { MAXIMUM_PARTS } from "./lost-prompt-runs.js";
import { MAXIMUM_RECORD_RUNS, type SuspectParts } from "./suspect-parts.js";
import {
  MAXIMUM_RECORD_ITEMS,
  type SuspectRequests,
} from "./suspect-requests.js";
import type { EntryRecord } from "./types.js";

/** Stream name under which unusable records are reported. */
export const SUSPECTS_STREAM = "suspects";

/** Delay that collects all suspects of one crash in one record, ms. */
const BATCH_DELAY_MS = 20;
const MINIMUM_PUBLISH_INTERVAL_MS = 250;
/** Delay after a failed write, ms. */
const RETRY_DELAY_MS = 1000;
const MAXIMUM_RUNNER_ID_CHARACTERS = 128;

const digestSchema = z.string().regex(/^[\w-]{1,64}$/);
const unixMsSchema = z.number().nonnegative();

const runSchema = z.object({
  runner: z.string().max(MAXIMUM_RUNNER_ID_CHARACTERS),
  sentAtMs: unixMsSchema,
  lostAtMs: unixMsSchema,
});

const recordSchema = z.object({
  suspicions: z
    .array(
      z.object({
        digest: digestSchema,
        runs: z.array(runSchema).max(MAXIMUM_RECORD_ITEMS),
      }),
    )
    .max(MAXIMUM_RECORD_ITEMS),
  acquittals: z
    .array(z.object({ digest: digestSchema, atMs: unixMsSchema }))
    .max(MAXIMUM_RECORD_ITEMS),
  // Earlier releases write neither of the following.
  lostRuns: z
    .array(
      runSchema.extend({
        request: digestSchema,
        parts: z.array(digestSchema).max(MAXIMUM_PARTS),
      }),
    )
    .max(MAXIMUM_RECORD_RUNS)
    .default([]),
  harmlessParts: z
    .array(z.object({ part: digestSchema, atMs: unixMsSchema }))
    .max(MAXIMUM_RECORD_ITEMS)
    .default([]),
});

export function encodeSuspects(record: EntryRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

export interface SuspectSyncOptions {
  /** Name of this entry and key of its record. */
  readonly name: string;
  readonly suspects: SuspectRequests;
  readonly parts: SuspectParts;
  readonly notes: KeyedWriter;
  readonly findings: RecordFindings;
  readonly after: ScheduleAfter;
  readonly emit: Emit;
}

export class SuspectSync {
  private hasReadBefore = false;
  private isScheduled = false;
  /** Whether the last write failed. */
  private isPublishFailing = false;

  private constructor(private readonly options: SuspectSyncOptions) {}

  static create(options: SuspectSyncOptions): SuspectSync {
    return new SuspectSync(options);
  }

  /** Doesn't throw: unreadable records are reported as findings. */
  apply(records: readonly KeyedRecord[]): void {
    const { name, suspects, parts, findings } = this.options;
    const otherSource = this.hasReadBefore ? "live" : "start";
    this.hasReadBefore = true;
    for (const { key, value } of records) {
      if (value === undefined) continue;
      try {
        const source = key === name ? "own" : otherSource;
        const record = decodeJson(recordSchema, value);
        if (parts.merge(record, source === "own")) this.schedulePublish();
        suspects.merge(record, source);
      } catch (error) {
        const reason = toFailure(error, 1903).message;
        findings.report({
          stream: SUSPECTS_STREAM,
          key,
          content: value,
          reason,
        });
      }
    }
  }

  /**
   * Schedules a write: there is new evidence, or the store has lost the last
   * record.
   */
  schedulePublish(delayMs = BATCH_DELAY_MS): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.after(delayMs, () => {
      void this.publish();
    });
  }

  /** The store was rolled back to an older copy. */
  onStoreRolledBack(): void {
    const { suspicions, lostRuns, harmlessParts } = this.ownRecord();
    const items = [...suspicions, ...lostRuns, ...harmlessParts];
    if (items.length > 0) this.schedulePublish();
  }

  private ownRecord(): EntryRecord {
    const { suspects, parts } = this.options;
    return { ...suspects.ownRecord(), ...parts.ownRecord() };
  }

  private async publish(): Promise<void> {
    const { name, notes, emit, after } = this.options;
    const record = this.ownRecord();
    try {
      await notes.put(name, encodeSuspects(record));
      this.setPublishFailing(false);
      after(MINIMUM_PUBLISH_INTERVAL_MS, () => {
        this.isScheduled = false;
        const isNewer = !isSameRecord(record, this.ownRecord());
        if (isNewer) this.schedulePublish();
      });
    } catch (error) {
      const reason = toFailure(error, 1901).message;
      if (!this.isPublishFailing)
        emit(191, { stream: SUSPECTS_STREAM, reason });
      this.setPublishFailing(true);
      this.isScheduled = false;
      this.schedulePublish(RETRY_DELAY_MS);
    }
  }

  private setPublishFailing(isFailing: boolean): void {
    this.isPublishFailing = isFailing;
    this.options.suspects.setIsolated(isFailing);
  }
}

function isSameRecord(one: EntryRecord, other: EntryRecord): boolean {
  return encodeSuspects(one).equals(encodeSuspects(other));
}
