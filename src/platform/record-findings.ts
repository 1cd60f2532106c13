/**
 * Findings on records that can't be used. One such record is read again and
 * again, by every reading of a whole topic: it is told once for each content,
 * so that the log shows new findings and the count means something.
 */
import { createHash } from "node:crypto";
import type { Emit, Measurements } from "../internal.js";
import type { UnreadableRecord } from "./keyed-topic.js";

/** A record that can't be used. */
export interface UnusableRecord {
  /** Name of the topic's follower. */
  readonly stream: string;
  /** Empty where it can't be read. */
  readonly key: string;
  readonly content: Uint8Array;
}

export interface RecordFinding extends UnusableRecord {
  readonly reason: string;
}

export interface RecordFindingsInputs {
  readonly emit: Emit;
  readonly measurements: Measurements;
}

/** Findings remembered; the one seen longest ago is told again, if ever. */
export const MOST_REMEMBERED = 1000;
/** Characters of a key or a reason that a line shows. */
const LONGEST_TEXT = 200;

export class RecordFindings {
  /** Digests of stream, key and content, the one seen last at the end. */
  private readonly known = new Set<string>();

  private constructor(private readonly inputs: RecordFindingsInputs) {}

  static create(inputs: RecordFindingsInputs): RecordFindings {
    return new RecordFindings(inputs);
  }

  /** Counts the record if it is new; for findings with an event of their own. */
  isNew(record: UnusableRecord): boolean {
    const digest = digestOf(record);
    const isKnown = this.known.delete(digest);
    this.known.add(digest);
    if (isKnown) return false;
    this.forgetOldest();
    const labels = { topic: record.stream };
    this.inputs.measurements.count("recordsUnusable", labels);
    return true;
  }

  note(finding: RecordFinding): void {
    if (!this.isNew(finding)) return;
    const { stream, key, reason } = finding;
    this.inputs.emit(193, {
      stream,
      key: key.slice(0, LONGEST_TEXT),
      reason: reason.slice(0, LONGEST_TEXT),
    });
  }

  /** What a page of the topic held beside its records. */
  noteUnreadable(stream: string, records: readonly UnreadableRecord[]): void {
    for (const { content, reason } of records) {
      this.note({ stream, key: "", content, reason });
    }
  }

  private forgetOldest(): void {
    if (this.known.size <= MOST_REMEMBERED) return;
    const [oldest] = this.known;
    this.known.delete(oldest);
  }
}

/** Lengths keep apart where one part ends and the next begins. */
function digestOf({ stream, key, content }: UnusableRecord): string {
  return createHash("sha256")
    .update(`${stream.length}.${key.length}.${stream}${key}`)
    .update(content)
    .digest("base64");
}
