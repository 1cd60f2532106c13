/** Counts dropped frames by reason. */
import type { Emit } from "../shared/events.js";
import type { DropReason } from "./types.js";

export type DropCounts = Readonly<Partial<Record<DropReason, number>>>;

/**
 * A cancellation or a lost session can be followed by hundreds of late frames;
 * logging only at powers of two keeps them from flooding the log.
 */
function isPowerOfTwo(count: number): boolean {
  return Number.isInteger(Math.log2(count));
}

export class DropCounter {
  private readonly counts: Partial<Record<DropReason, number>> = {};

  private constructor(private readonly emit: Emit) {}

  static create(emit: Emit): DropCounter {
    return new DropCounter(emit);
  }

  count(attempt: string, reason: DropReason): void {
    const count = (this.counts[reason] ?? 0) + 1;
    this.counts[reason] = count;
    if (isPowerOfTwo(count)) this.emit(125, { attempt, reason, count });
  }

  figures(): DropCounts {
    return { ...this.counts };
  }
}
