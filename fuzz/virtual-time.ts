/** Virtual time: events run in the order of their time, without timers. */
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

  after(delayMs: number, run: () => void): void {
    const atMs = this.currentMs + delayMs;
    let place = this.events.length;
    while (place > 0 && (this.events[place - 1]?.atMs ?? 0) > atMs) place -= 1;
    this.events.splice(place, 0, { atMs, run });
  }

  advance(durationMs: number): void {
    const untilMs = this.currentMs + durationMs;
    let next = this.takeUntil(untilMs);
    while (next !== undefined) {
      this.currentMs = next.atMs;
      next.run();
      next = this.takeUntil(untilMs);
    }
    this.currentMs = untilMs;
  }

  private takeUntil(untilMs: number): TimedEvent | undefined {
    const first = this.events.at(0);
    if (first === undefined || first.atMs > untilMs) return undefined;
    return this.events.shift();
  }
}
