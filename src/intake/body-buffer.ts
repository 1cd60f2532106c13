/**
 * Collects the parts of a request's body in one buffer. The parts aren't kept:
 * each is an object of its own, which can take a hundred times its length.
 */

/** Smallest buffer for a body that comes in several parts, bytes. */
const MINIMUM_CAPACITY_BYTES = 4096;

const EMPTY = Buffer.alloc(0);

export class BodyBuffer {
  private buffer: Buffer = EMPTY;
  private lengthBytes = 0;

  private constructor(private readonly limitBytes: number) {}

  /** `limitBytes`: largest length that is appended to. */
  static create(limitBytes: number): BodyBuffer {
    return new BodyBuffer(limitBytes);
  }

  /** Bytes that the process holds for this body. */
  get capacityBytes(): number {
    return this.buffer.length;
  }

  /** Bytes that the process holds once the part is appended. */
  capacityWith(partBytes: number): number {
    const length = this.lengthBytes + partBytes;
    if (length <= this.buffer.length) return this.buffer.length;
    // Most bodies come in one part, which is kept as it is.
    if (this.lengthBytes === 0) return partBytes;
    const doubled = Math.max(MINIMUM_CAPACITY_BYTES, 2 * this.buffer.length);
    return Math.max(length, Math.min(this.limitBytes, doubled));
  }

  /** False, and nothing is appended, if the body would be over the limit. */
  append(part: Buffer): boolean {
    const length = this.lengthBytes + part.length;
    if (length > this.limitBytes) return false;
    if (this.lengthBytes === 0) {
      this.buffer = part;
    } else {
      this.reserve(this.capacityWith(part.length));
      part.copy(this.buffer, this.lengthBytes);
    }
    this.lengthBytes = length;
    return true;
  }

  /** Returns what was appended; the buffer is shared with the result. */
  read(): Buffer {
    return this.buffer.subarray(0, this.lengthBytes);
  }

  private reserve(capacityBytes: number): void {
    if (capacityBytes === this.buffer.length) return;
    const larger = Buffer.allocUnsafeSlow(capacityBytes);
    this.buffer.copy(larger, 0, 0, this.lengthBytes);
    this.buffer = larger;
  }
}
