/**
 * Says when a refused caller is to come back: when requests of its priority will
 * have started often enough for the backlog and for those that were told to come
 * back before it. Each refusal promises one of the coming starts, so callers come
 * back at the rate at which there is room for them.
 */
import type { Now, Random } from "../internal.js";
import type { AdmissionRequest } from "./types.js";

export interface RoomForecastInputs {
  readonly now: Now;
  readonly random: Random;
}

interface StartRate {
  /** Starts per ms, decaying. */
  perMs: number;
  updatedAtMs: number;
  /** Time up to which all starts are promised. */
  promisedUntilMs: number;
}

/** Time constant of the rate of starts, ms. */
const RATE_TIME_MS = 2000;
/** A retry that comes sooner finds the queue unchanged. */
const MINIMUM_DELAY_MS = 100;
/** Part of their remaining time up to which callers honour a delay. */
const HONOURED_SHARE = 1 / 3;
/** Part of the longest delay over which callers spread that it is given to. */
const SPREAD_SHARE = 0.5;

export class RoomForecast {
  private readonly rates = new Map<string, StartRate>();

  private constructor(private readonly inputs: RoomForecastInputs) {}

  static create(inputs: RoomForecastInputs): RoomForecast {
    return new RoomForecast(inputs);
  }

  onStarted(request: AdmissionRequest): void {
    this.decayedRateOf(request).perMs += 1 / RATE_TIME_MS;
  }

  /**
   * Time after which the caller is to come back, ms. `waitMs`: predicted wait of
   * the refused request.
   */
  delayMs(request: AdmissionRequest, waitMs: number): number {
    const { now, random } = this.inputs;
    const nowMs = now();
    const leftMs = Math.max(0, request.deadlineAtMs - nowMs);
    const longestMs = Math.max(MINIMUM_DELAY_MS, leftMs * HONOURED_SHARE);
    const rate = this.decayedRateOf(request);
    const intervalMs = 1 / rate.perMs;
    const soonestMs = Math.max(MINIMUM_DELAY_MS, waitMs);
    const promisedMs = Math.max(nowMs + soonestMs, rate.promisedUntilMs);
    const delayMs = promisedMs - nowMs + intervalMs * random();
    // Nothing is promised to a caller that comes back before its turn.
    if (rate.perMs === 0 || delayMs > longestMs)
      return longestMs * (1 - SPREAD_SHARE * random());
    rate.promisedUntilMs = promisedMs + intervalMs;
    return delayMs;
  }

  private decayedRateOf({ pool, priority }: AdmissionRequest): StartRate {
    const key = `${priority} ${pool}`;
    const nowMs = this.inputs.now();
    const known = this.rates.get(key);
    if (known === undefined) {
      const rate = { perMs: 0, updatedAtMs: nowMs, promisedUntilMs: 0 };
      this.rates.set(key, rate);
      return rate;
    }
    known.perMs *= Math.exp((known.updatedAtMs - nowMs) / RATE_TIME_MS);
    known.updatedAtMs = nowMs;
    return known;
  }
}
