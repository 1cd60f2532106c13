/**
 * Hybrid logical clock (Kulkarni et al. 2014). A reading taken after a message
 * was received is always greater than the one in the message, so events of
 * different processes sort in causal order even if their wall clocks differ.
 */

export interface ClockReading {
  /** Milliseconds since the Unix epoch. */
  readonly physicalMs: number;
  /** Orders readings of the same millisecond. */
  readonly counter: number;
}

/** Milliseconds since a fixed point in time. */
export type Now = () => number;

/**
 * Readings further ahead of the wall clock are ignored, so that one peer with a
 * wrong clock doesn't advance the clocks of all others.
 */
const MAXIMUM_PEER_LEAD_MS = 60_000;

export class HybridClock {
  private last: ClockReading = { physicalMs: 0, counter: 0 };

  private constructor(private readonly now: Now) {}

  static create(now: Now = Date.now): HybridClock {
    return new HybridClock(now);
  }

  read(): ClockReading {
    return this.advance(this.last);
  }

  /** Merges the reading of a received message. */
  observe(reading: ClockReading | undefined): ClockReading {
    if (reading === undefined) return this.read();
    if (reading.physicalMs > this.now() + MAXIMUM_PEER_LEAD_MS)
      return this.read();
    const later = compareReadings(reading, this.last) > 0 ? reading : this.last;
    return this.advance(later);
  }

  private advance(from: ClockReading): ClockReading {
    const physicalMs = this.now();
    this.last =
      physicalMs > from.physicalMs
        ? { physicalMs, counter: 0 }
        : { physicalMs: from.physicalMs, counter: from.counter + 1 };
    return this.last;
  }
}

export function compareReadings(a: ClockReading, b: ClockReading): number {
  return a.physicalMs - b.physicalMs || a.counter - b.counter;
}
