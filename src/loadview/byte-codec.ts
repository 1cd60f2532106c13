/** Unsigned variable-length integers and short texts in a datagram. */
import { raise } from "../internal.js";

const PAYLOAD_BITS = 7;
const PAYLOAD_MASK = 0x7f;
const CONTINUATION_BIT = 0x80;
/** Covers the largest safe integer. */
const MAXIMUM_INTEGER_BYTES = 8;

/** Fatal, because two names must not decode to the same text. */
const strictUtf8Decoder = new TextDecoder("utf-8", { fatal: true });

export class ByteWriter {
  private readonly bytes: number[] = [];

  static create(): ByteWriter {
    return new ByteWriter();
  }

  byte(value: number): void {
    this.bytes.push(value);
  }

  /** Rounded to an integer between 0 and the largest safe one. */
  integer(value: number): void {
    const known = Number.isNaN(value) ? 0 : Math.round(value);
    let rest = Math.min(Math.max(0, known), Number.MAX_SAFE_INTEGER);
    while (rest > PAYLOAD_MASK) {
      this.bytes.push((rest % CONTINUATION_BIT) | CONTINUATION_BIT);
      rest = Math.floor(rest / CONTINUATION_BIT);
    }
    this.bytes.push(rest);
  }

  text(value: string): void {
    const encoded = Buffer.from(value, "utf8");
    this.integer(encoded.length);
    this.bytes.push(...encoded);
  }

  finish(): Buffer {
    return Buffer.from(this.bytes);
  }
}

export class ByteReader {
  private offset = 0;

  private constructor(private readonly bytes: Uint8Array) {}

  static create(bytes: Uint8Array): ByteReader {
    return new ByteReader(bytes);
  }

  /** Throws 1905 at the end of the datagram. */
  byte(): number {
    const value = this.bytes.at(this.offset);
    this.offset += 1;
    return value ?? raise(1905, { reason: "truncated" });
  }

  /** Throws 1905 for an integer above `maximum`. */
  integer(maximum = Number.MAX_SAFE_INTEGER): number {
    let value = 0;
    for (let index = 0; index < MAXIMUM_INTEGER_BYTES; index += 1) {
      const byte = this.byte();
      value += (byte & PAYLOAD_MASK) * 2 ** (index * PAYLOAD_BITS);
      if (value > maximum) break;
      if (byte < CONTINUATION_BIT) return value;
    }
    return raise(1905, { reason: "integer out of range" });
  }

  /** Throws 1905. */
  text(maximumBytes: number): string {
    const length = this.integer(maximumBytes);
    const end = this.offset + length;
    if (end > this.bytes.length) raise(1905, { reason: "truncated" });
    const encoded = this.bytes.subarray(this.offset, end);
    this.offset = end;
    try {
      return strictUtf8Decoder.decode(encoded);
    } catch {
      return raise(1905, { reason: "text isn't UTF-8" });
    }
  }
}
