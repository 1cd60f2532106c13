/** A keyed topic that anybody writes to, with its answers in bytes. */
import { valueOf, type WriteStep } from "./steps.js";

/** A record as its writer meant it. */
export interface Written {
  /** What is known of it without looking at its bytes. */
  readonly step: WriteStep;
  /** Undefined where no key can be read. */
  readonly key: string | undefined;
  /** Undefined for a key that was dropped. */
  readonly value: Buffer | undefined;
  readonly bytes: Buffer;
}

const HEAD = Buffer.alloc(16);
const LENGTH_BYTES = 4;

export class WrittenTopic {
  readonly history: Written[] = [];

  private constructor(private readonly keys: readonly string[]) {}

  static create(keys: readonly string[]): WrittenTopic {
    return new WrittenTopic(keys);
  }

  write(step: WriteStep): void {
    if (step.kind === "unframed") {
      this.history.push({ step, ...parse(Buffer.from(step.bytes)) });
      return;
    }
    const key = Buffer.from(this.keys[step.key]);
    const value = valueOf(step) ?? Buffer.alloc(0);
    const bytes = Buffer.concat([Buffer.from([key.length]), key, value]);
    this.history.push({ step, ...parse(bytes) });
  }

  /** Records from the offset, and some bytes of one that isn't whole. */
  page(from: number, extraBytes: number): Buffer {
    const records = this.history.slice(from).map(({ bytes }) => framed(bytes));
    const next = framed(Buffer.alloc(64, 1));
    const extra = records.length === 0 ? 0 : extraBytes;
    return Buffer.concat([HEAD, ...records, next.subarray(0, extra)]);
  }

  /** Newest records by key, with `odd` entries among them. */
  newest(odd: readonly unknown[]): Buffer {
    const newest = new Map<string, unknown>();
    this.history.forEach(({ key, value }, offset) => {
      if (key === undefined) return;
      if (value === undefined) newest.delete(key);
      else newest.set(key, { key, data: value.toString("base64"), offset });
    });
    const entries = [...newest.values(), ...odd];
    const { length } = this.history;
    const body = { entries, has_more: false, end_offset: length };
    return Buffer.from(JSON.stringify(body));
  }
}

/** By the framing's definition, apart from the decoder under test. */
function parse(bytes: Buffer): Omit<Written, "step"> {
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

function framed(record: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}
