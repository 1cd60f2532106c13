/**
 * Reports records that can't be used. Every full read of a topic returns such a
 * record again, so each content is logged and counted only once; otherwise the
 * repeats would hide new findings and inflate the count.
 */
import { createHash } from "node:crypto";
import type { Emit, Measurements } from "../internal.js";
import type { UnreadableRecord } from "./keyed-topic.js";

export interface UnusableRecord {
  /** Name under which the topic is followed. */
  readonly stream: string;
  /** Empty if it can't be read. */
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

/**
 * Findings remembered. Beyond that the least recently seen one is evicted, and
 * reported again if it recurs.
 */
export const MAXIMUM_REMEMBERED_FINDINGS = 1000;
/** Longer keys and reasons are cut in the log. */
const MAXIMUM_LOGGED_CHARACTERS = 200;

export class RecordFindings {
  /** Digests of stream, key and content, least recently seen first. */
  private readonly known = new Set<string>();

  private constructor(private readonly inputs: RecordFindingsInputs) {}

  static create(inputs: RecordFindingsInputs): RecordFindings {
    return new RecordFindings(inputs);
  }

  /**
   * Whether the record is new; counts it then. For findings with their own
   * event.
   */
  isNew(record: UnusableRecord): boolean {
    const digest = digestOf(record);
    const isKnown = this.known.delete(digest);
    this.known.add(digest);
    if (isKnown) return false;
    this.evictOldest();
    const labels = { topic: record.stream };
    this.inputs.measurements.count("recordsUnusable", labels);
    return true;
  }

  /** Counts and logs the finding if it is new. */
  report(finding: RecordFinding): void {
    if (!this.isNew(finding)) return;
    const { stream, key, reason } = finding;
    this.inputs.emit(193, {
      stream,
      key: key.slice(0, MAXIMUM_LOGGED_CHARACTERS),
      reason: reason.slice(0, MAXIMUM_LOGGED_CHARACTERS),
    });
  }

  /** Reports the records of a page whose key can't be decoded. */
  reportUnreadable(stream: string, records: readonly UnreadableRecord[]): void {
    for (const { content, reason } of records) {
      this.report({ stream, key: "", content, reason });
    }
  }

  private evictOldest(): void {
    if (this.known.size <= MAXIMUM_REMEMBERED_FINDINGS) return;
    const [oldest] = this.known;
    this.known.delete(oldest);
  }
}

/** The lengths make the concatenation of stream and key unambiguous. */
function digestOf({ stream, key, content }: UnusableRecord): string {
  return createHash("sha256")
    .update(`${stream.length}.${key.length}.${stream}${key}`)
    .update(content)
    .digest("base64");
}
