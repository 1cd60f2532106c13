/**
 * Decides which part of which expert's weights to fetch next.
 *
 * Load: a map change moves tens to hundreds of experts, and a new engine needs
 * all of its own, while the store serves every group of the site at a limited
 * rate. Unpaced fetches would starve other groups of it, and one that began
 * again after each failure would never end while the store comes and goes. So
 * parts are paced by a token bucket, one part is in flight, and each goes on
 * from the bytes that the engine already holds.
 */
import {
  weightKey,
  type Random,
  type StagedWeight,
  type WeightName,
  type WeightPart,
} from "../internal.js";

export interface FetchSettings {
  readonly bytesPerExpert: number;
  /** This agent's share of the weight store's rate. */
  readonly bytesPerSecond: number;
  readonly partBytes: number;
}

/** First wait after a failure; doubled for each further one. */
const FIRST_RETRY_MS = 100;
/** A store that is back after an outage is found again within this time. */
const LONGEST_RETRY_MS = 2_000;

export class WeightFetch {
  private wanted: WeightName[] = [];
  private held = new Map<string, number>();
  private inFlight: WeightPart | undefined;
  private failures = 0;
  private nextAt = 0;
  private fetchedBytes = 0;

  private constructor(
    private readonly settings: FetchSettings,
    private readonly random: Random,
  ) {}

  static create(settings: FetchSettings, random: Random): WeightFetch {
    return new WeightFetch(settings, random);
  }

  get totalBytes(): number {
    return this.fetchedBytes;
  }

  /** Nothing is left to fetch, as far as is known here. */
  get idle(): boolean {
    return this.inFlight === undefined && this.wanted.length === 0;
  }

  /** Starts on other weights, from what the engine holds of them. */
  start(wanted: readonly WeightName[], held: readonly StagedWeight[]): void {
    this.wanted = [...wanted].reverse();
    this.held = new Map(held.map((item) => [weightKey(item), item.bytes]));
    this.inFlight = undefined;
    this.dropWhole();
  }

  /** The next part, when it is time for it; it is in flight from now on. */
  next(now: number): WeightPart | undefined {
    if (this.inFlight !== undefined || now < this.nextAt) return undefined;
    const weight = this.wanted.at(-1);
    if (weight === undefined) return undefined;
    const offset = this.held.get(weightKey(weight)) ?? 0;
    const left = this.settings.bytesPerExpert - offset;
    const length = Math.min(this.settings.partBytes, left);
    this.inFlight = { weight, offset, length };
    this.nextAt = now + (length / this.settings.bytesPerSecond) * 1000;
    return this.inFlight;
  }

  /** The engine holds that many bytes of the weight after a part. */
  arrived(part: WeightPart, heldBytes: number): void {
    if (part !== this.inFlight) return;
    this.inFlight = undefined;
    this.failures = 0;
    // An engine that started again doesn't take the part. Without this the same
    // part would be fetched for ever; idle, the agent asks what is wanted.
    if (heldBytes <= part.offset) this.wanted = [];
    this.fetchedBytes += Math.max(0, heldBytes - part.offset);
    this.held.set(weightKey(part.weight), heldBytes);
    this.dropWhole();
  }

  /** The part didn't come; the store may have named a time to ask again. */
  failed(part: WeightPart, now: number, retryAfterMs: number): void {
    if (part !== this.inFlight) return;
    this.inFlight = undefined;
    const backOff = FIRST_RETRY_MS * 2 ** Math.min(this.failures, 10);
    const wait = Math.max(retryAfterMs, Math.min(backOff, LONGEST_RETRY_MS));
    this.failures += 1;
    // Jitter, or all agents of a group would return to the store at once.
    this.nextAt = now + wait * (0.5 + this.random() / 2);
  }

  private dropWhole(): void {
    for (;;) {
      const weight = this.wanted.at(-1);
      if (weight === undefined) return;
      const held = this.held.get(weightKey(weight)) ?? 0;
      if (held < this.settings.bytesPerExpert) return;
      this.wanted.pop();
    }
  }
}
