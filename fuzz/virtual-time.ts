/**
 * Virtual clock that runs scheduled events in order of time, without real
 * timers.
 */
interface TimedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

export class VirtualTime {
  private readonly events: TimedEvent[] = [];

  private constructor(private currentMs: number) {}

  static create(startMs: number): VirtualTime {
    return new VirtualTime(startMs);
  }

  get nowMs(): number {
    return this.currentMs;
  }

  schedule(delayMs: number, run: () => void): void {
    const atMs = this.currentMs + delayMs;
    let index = this.events.length;
    while (index > 0 && (this.events[index - 1]?.atMs ?? 0) > atMs) index -= 1;
    this.events.splice(index, 0, { atMs, run });
  }

  advance(durationMs: number): void {
    const untilMs = this.currentMs + durationMs;
    let next = this.shiftDue(untilMs);
    while (next !== undefined) {
      this.currentMs = next.atMs;
      next.run();
      next = this.shiftDue(untilMs);
    }
    this.currentMs = untilMs;
  }

  private shiftDue(untilMs: number): TimedEvent | undefined {
    const first = this.events.at(0);
    if (first === undefined || first.atMs > untilMs) return undefined;
    return this.events.shift();
  }
}
