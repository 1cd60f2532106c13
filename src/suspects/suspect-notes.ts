/**
 * Shares suspects between entries: each writes what it has seen under its own
 * name into a topic that all follow. It works on with what it knows itself while
 * the store is away.
 */
import { z } from "zod";
import { toFailure, type Emit } from "../internal.js";
import type { After } from "../membership/types.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord, KeyedWriter } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { MOST_TOLD, type SuspectRequests } from "./suspect-requests.js";
import type { SuspectRecord } from "./types.js";

/** The name under which findings on records are told. */
export const SUSPECTS_STREAM = "suspects";

/** Suspects of one crash go into one record, ms. */
const GATHER_MS = 20;
/** Between two writes, ms. */
const LEAST_INTERVAL_MS = 250;
/** After a write that failed, ms. */
const RETRY_MS = 1000;
const LONGEST_NAME = 128;

const digest = z.string().regex(/^[\w-]{1,64}$/);
const unixMs = z.number().nonnegative();

const run = z.object({
  runner: z.string().max(LONGEST_NAME),
  sentAtMs: unixMs,
  lostAtMs: unixMs,
});

const recordSchema = z.object({
  suspicions: z
    .array(z.object({ digest, runs: z.array(run).max(MOST_TOLD) }))
    .max(MOST_TOLD),
  acquittals: z.array(z.object({ digest, atMs: unixMs })).max(MOST_TOLD),
});

export function encodeSuspects(record: SuspectRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

export interface SuspectNotesOptions {
  /** Of this entry; its record's key. */
  readonly name: string;
  readonly suspects: SuspectRequests;
  readonly notes: KeyedWriter;
  readonly findings: RecordFindings;
  readonly after: After;
  readonly emit: Emit;
}

export class SuspectNotes {
  private hasRead = false;
  private isScheduled = false;
  /** The last write failed. */
  private isLost = false;

  private constructor(private readonly options: SuspectNotesOptions) {}

  static create(options: SuspectNotesOptions): SuspectNotes {
    return new SuspectNotes(options);
  }

  /** Doesn't throw: what can't be read is a finding. */
  take(records: readonly KeyedRecord[]): void {
    const { name, suspects, findings } = this.options;
    const others = this.hasRead ? "live" : "start";
    this.hasRead = true;
    for (const { key, value } of records) {
      if (value === undefined) continue;
      try {
        const source = key === name ? "own" : others;
        suspects.take(decodeJson(recordSchema, value), source);
      } catch (error) {
        const reason = toFailure(error, 1903).message;
        findings.note({ stream: SUSPECTS_STREAM, key, content: value, reason });
      }
    }
  }

  /** There is something new to tell, or the store has lost what was told. */
  schedule(delayMs = GATHER_MS): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.after(delayMs, () => {
      void this.write();
    });
  }

  /** The store came back from an older copy. */
  onStoreReturned(): void {
    const { suspicions } = this.options.suspects.record();
    if (suspicions.length > 0) this.schedule();
  }

  private async write(): Promise<void> {
    const { name, suspects, notes, emit, after } = this.options;
    const record = suspects.record();
    try {
      await notes.put(name, encodeSuspects(record));
      this.setLost(false);
      after(LEAST_INTERVAL_MS, () => {
        this.isScheduled = false;
        const isNewer = !isSame(record, suspects.record());
        if (isNewer) this.schedule();
      });
    } catch (error) {
      const reason = toFailure(error, 1901).message;
      if (!this.isLost) emit(191, { stream: SUSPECTS_STREAM, reason });
      this.setLost(true);
      this.isScheduled = false;
      this.schedule(RETRY_MS);
    }
  }

  private setLost(isLost: boolean): void {
    this.isLost = isLost;
    this.options.suspects.setAlone(isLost);
  }
}

function isSame(one: SuspectRecord, other: SuspectRecord): boolean {
  return encodeSuspects(one).equals(encodeSuspects(other));
}
