/** Events in virtual time; the same schedule gives the same order. */
import { MinHeap } from "../../src/admission/min-heap.js";

export class VirtualTime {
  nowMs = 0;
  private readonly events = MinHeap.create<() => void>();

  private constructor() {
    // Made by create.
  }

  static create(): VirtualTime {
    return new VirtualTime();
  }

  after(delayMs: number, event: () => void): void {
    this.events.push(this.nowMs + Math.max(0, delayMs), event);
  }

  /** Calls `event` every `periodMs`, for the first time after `phaseMs`. */
  every(periodMs: number, phaseMs: number, event: () => void): void {
    const repeat = (): void => {
      event();
      this.after(periodMs, repeat);
    };
    this.after(phaseMs, repeat);
  }

  run(untilMs: number): void {
    while (this.events.leastKey <= untilMs) {
      this.nowMs = this.events.leastKey;
      this.events.pop()?.();
    }
    this.nowMs = untilMs;
  }
}
