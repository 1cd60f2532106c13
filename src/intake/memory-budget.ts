/**
 * Bounds the bytes that a process holds of many items together, such as bodies
 * of requests, or responses that aren't complete or haven't been read.
 */

/** The bytes held of one item. */
export interface HeldBytes extends Disposable {
  /** Sets the bytes held now; false if the item must be given up. */
  readonly tryHold: (bytes: number) => boolean;
}

export class MemoryBudget {
  private readonly held = new Map<HeldBytes, number>();
  private totalBytes = 0;

  private constructor(
    private capacity: number,
    private readonly onChanged: (heldBytes: number) => void,
  ) {}

  /** `onChanged` is called with the bytes held of all items. */
  static create(
    capacityBytes: number,
    onChanged: (heldBytes: number) => void = () => undefined,
  ): MemoryBudget {
    return new MemoryBudget(capacityBytes, onChanged);
  }

  get heldBytes(): number {
    return this.totalBytes;
  }

  set capacityBytes(bytes: number) {
    this.capacity = bytes;
  }

  /** Whether an item of this size would be taken; a single one always is. */
  allows(bytes: number): boolean {
    const { size } = this.held;
    if (size === 0 || this.totalBytes + bytes <= this.capacity) return true;
    return bytes <= this.capacity / (size + 1);
  }

  /** Begins to count one item; disposed of when nothing of it is held. */
  open(): HeldBytes {
    const held: HeldBytes = {
      tryHold: (bytes) => this.tryHold(held, bytes),
      [Symbol.dispose]: () => {
        this.set(held, 0);
        this.held.delete(held);
      },
    };
    return held;
  }

  /**
   * Beyond the capacity, only items that hold less than an even part grow, so
   * that small ones aren't given up because of large ones. The total therefore
   * stays under twice the capacity.
   */
  private tryHold(held: HeldBytes, bytes: number): boolean {
    const before = this.held.get(held) ?? 0;
    this.set(held, bytes);
    if (bytes <= before || this.totalBytes <= this.capacity) return true;
    return bytes <= this.capacity / this.held.size;
  }

  private set(held: HeldBytes, bytes: number): void {
    const before = this.held.get(held) ?? 0;
    if (bytes === before) return;
    this.totalBytes += bytes - before;
    if (bytes === 0) this.held.delete(held);
    else this.held.set(held, bytes);
    this.onChanged(this.totalBytes);
  }
}
