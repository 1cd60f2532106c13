/**
 * Discrete-event clock for simulations. Runs are reproducible: the same
 * schedule runs its events in the same order.
 */
import { MinHeap } from "../../src/admission/min-heap.js";

export class VirtualClock {
  nowMs = 0;
  private readonly events = MinHeap.create<() => void>();

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): VirtualClock {
    return new VirtualClock();
  }

  schedule(delayMs: number, event: () => void): void {
    this.events.push(this.nowMs + Math.max(0, delayMs), event);
  }

  /** Runs `event` every `periodMs`, first after `phaseMs`. */
  scheduleEvery(periodMs: number, phaseMs: number, event: () => void): void {
    const repeat = (): void => {
      event();
      this.schedule(periodMs, repeat);
    };
    this.schedule(phaseMs, repeat);
  }

  runUntil(untilMs: number): void {
    while (this.events.minimumKey <= untilMs) {
      this.nowMs = this.events.minimumKey;
      this.events.pop()?.();
    }
    this.nowMs = untilMs;
  }
}
