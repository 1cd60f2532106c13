/**
 * Model of a keyed topic to which any program may write; encodes the store's
 * responses as bytes.
 */
import { valueOf, type WriteStep } from "./steps.js";

/** A record with what is known about it independently of the decoders. */
export interface WrittenRecord {
  /** The step that wrote the record. */
  readonly step: WriteStep;
  /** Undefined when the record has no readable key. */
  readonly key: string | undefined;
  /** Undefined when the key was dropped. */
  readonly value: Buffer | undefined;
  readonly bytes: Buffer;
}

const PAGE_HEADER = Buffer.alloc(16);
const LENGTH_BYTES = 4;

export class TopicModel {
  readonly history: WrittenRecord[] = [];

  private constructor(private readonly keys: readonly string[]) {}

  static create(keys: readonly string[]): TopicModel {
    return new TopicModel(keys);
  }

  write(step: WriteStep): void {
    if (step.kind === "unframed") {
      this.history.push({ step, ...parseRecord(Buffer.from(step.bytes)) });
      return;
    }
    const key = Buffer.from(this.keys[step.key]);
    const value = valueOf(step) ?? Buffer.alloc(0);
    const bytes = Buffer.concat([Buffer.from([key.length]), key, value]);
    this.history.push({ step, ...parseRecord(bytes) });
  }

  /**
   * Page of the records from an offset on, followed by `extraBytes` bytes of an
   * incomplete record.
   */
  page(from: number, extraBytes: number): Buffer {
    const records = this.history
      .slice(from)
      .map(({ bytes }) => frameRecord(bytes));
    const next = frameRecord(Buffer.alloc(64, 1));
    const extra = records.length === 0 ? 0 : extraBytes;
    return Buffer.concat([PAGE_HEADER, ...records, next.subarray(0, extra)]);
  }

  /**
   * Response with the newest record of each key and the malformed entries in
   * `malformed`.
   */
  newest(malformed: readonly unknown[]): Buffer {
    const newest = new Map<string, unknown>();
    this.history.forEach(({ key, value }, offset) => {
      if (key === undefined) return;
      if (value === undefined) newest.delete(key);
      else newest.set(key, { key, data: value.toString("base64"), offset });
    });
    const entries = [...newest.values(), ...malformed];
    const { length } = this.history;
    const body = { entries, has_more: false, end_offset: length };
    return Buffer.from(JSON.stringify(body));
  }
}

/**
 * Parses a record by the definition of the framing, independently of the
 * decoder under test.
 */
function parseRecord(bytes: Buffer): Omit<WrittenRecord, "step"> {
  const length = bytes.at(0);
  if (length === undefined || 1 + length > bytes.length) {
    return { key: undefined, value: undefined, bytes };
  }
  const rest = bytes.subarray(1 + length);
  return {
    key: bytes.subarray(1, 1 + length).toString(),
    value: rest.length === 0 ? undefined : rest,
    bytes,
  };
}

function frameRecord(record: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}
