/**
 * Schedules the fetches of expert weights, part by part.
 *
 * A map change moves tens to hundreds of experts, and a new engine needs all of
 * its experts, while the store serves every group of the site at a limited
 * rate. Unpaced fetches would starve other groups, and a fetch that restarted
 * after each failure would never complete while the store is unstable.
 * Therefore parts are paced to this agent's share of the rate, one part is in
 * flight at a time, and a fetch resumes from the bytes that the engine holds.
 */
import {
  weightKey,
  type Random,
  type StagedWeight,
  type ExpertWeightId,
  type WeightPart,
} from "../internal.js";

export interface FetchSettings {
  readonly bytesPerExpert: number;
  /** This agent's share of the weight store's rate. */
  readonly bytesPerSecond: number;
  readonly partBytes: number;
}

/** Wait after the first failure; doubled after each further one. */
const INITIAL_BACKOFF_MS = 100;
/** Bounds the delay until the end of a store outage is noticed. */
const MAXIMUM_BACKOFF_MS = 2_000;

export class WeightFetch {
  private pending: ExpertWeightId[] = [];
  private heldBytesByWeight = new Map<string, number>();
  private inFlight: WeightPart | undefined;
  private consecutiveFailures = 0;
  private nextPartAt = 0;
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

  /** Whether no part is in flight and no weights are pending. */
  get isIdle(): boolean {
    return this.inFlight === undefined && this.pending.length === 0;
  }

  /** Replaces the pending weights; resumes from the bytes the engine holds. */
  start(
    wanted: readonly ExpertWeightId[],
    held: readonly StagedWeight[],
  ): void {
    this.pending = [...wanted].reverse();
    this.heldBytesByWeight = new Map(
      held.map((item) => [weightKey(item), item.bytes]),
    );
    this.inFlight = undefined;
    this.dropComplete();
  }

  /** Takes the next part, if one is due, and marks it as in flight. */
  nextPart(now: number): WeightPart | undefined {
    if (this.inFlight !== undefined || now < this.nextPartAt) return undefined;
    const weight = this.pending.at(-1);
    if (weight === undefined) return undefined;
    const offset = this.heldBytesByWeight.get(weightKey(weight)) ?? 0;
    const left = this.settings.bytesPerExpert - offset;
    const length = Math.min(this.settings.partBytes, left);
    this.inFlight = { weight, offset, length };
    this.nextPartAt = now + (length / this.settings.bytesPerSecond) * 1000;
    return this.inFlight;
  }

  /**
   * A part was sent to the engine, which now holds `heldBytes` of the weight.
   */
  partArrived(part: WeightPart, heldBytes: number): void {
    if (part !== this.inFlight) return;
    this.inFlight = undefined;
    this.consecutiveFailures = 0;
    // A restarted engine doesn't accept the part, and the same part would be
    // fetched forever. Once idle, the agent asks the engine what it lacks.
    if (heldBytes <= part.offset) this.pending = [];
    this.fetchedBytes += Math.max(0, heldBytes - part.offset);
    this.heldBytesByWeight.set(weightKey(part.weight), heldBytes);
    this.dropComplete();
  }

  /** A fetch failed; the store may have requested a minimum retry delay. */
  partFailed(part: WeightPart, now: number, retryAfterMs: number): void {
    if (part !== this.inFlight) return;
    this.inFlight = undefined;
    const backoffMs =
      INITIAL_BACKOFF_MS * 2 ** Math.min(this.consecutiveFailures, 10);
    const waitMs = Math.max(
      retryAfterMs,
      Math.min(backoffMs, MAXIMUM_BACKOFF_MS),
    );
    this.consecutiveFailures += 1;
    // Jitter prevents all agents of a group from retrying at the same time.
    this.nextPartAt = now + waitMs * (0.5 + this.random() / 2);
  }

  private dropComplete(): void {
    for (;;) {
      const weight = this.pending.at(-1);
      if (weight === undefined) return;
      const held = this.heldBytesByWeight.get(weightKey(weight)) ?? 0;
      if (held < this.settings.bytesPerExpert) return;
      this.pending.pop();
    }
  }
}
