/**
 * What one entry has seen of one runner of a service without streams: the
 * requests without a response, how long responses take compared with the
 * service's usual time, and which part of the requests fails. Both decay, so
 * that a runner that has recovered gets requests again.
 */

interface RunningAttempt {
  readonly startedAtMs: number;
  /** Time after which the attempt counts as hung, ms. */
  readonly hungAfterMs: number;
}

/** How this entry uses a runner. */
export interface RunnerUsage {
  /** Share of the runner's slots that this entry uses. */
  readonly score: number;
  readonly slots: number;
  /** Whether this entry's requests take all slots. */
  readonly isFull: boolean;
}

/** Weight of a new response in the runner's relative response time. */
const SMOOTHING_FACTOR = 0.2;
/** Time in which what was seen loses half of its weight, ms. */
const HALF_LIFE_MS = 5000;
/** Bounds of the relative response time. */
const MINIMUM_SLOWNESS = 0.25;
const MAXIMUM_SLOWNESS = 16;
/** Hung requests without any response since from which on only trials go. */
const SILENT_FROM_HUNG = 2;
/** Bounds of the interval between two trials of a silent runner, ms. */
const FIRST_TRIAL_INTERVAL_MS = 500;
const LONGEST_TRIAL_INTERVAL_MS = 4000;
/** Score with which a runner without a free place comes after those with one. */
const FULL_PENALTY = 1000;
/** Score with which a silent runner comes after all others. */
const SILENT_PENALTY = 10_000;
/** Score with which a runner that is due for a trial comes first. */
const TRIAL_SCORE = -1;
/** Factor by which a runner that always fails is loaded less. */
const FAILURE_WEIGHT = 10;

export class RunnerRecord {
  private readonly running = new Map<string, RunningAttempt>();
  /** Logarithm of the response time over the service's usual one. */
  private logSlowness = 0;
  private failureShare = 0;
  private updatedAtMs = 0;
  private respondedAtMs = Number.NEGATIVE_INFINITY;
  private trialAtMs = Number.NEGATIVE_INFINITY;
  private trialIntervalMs = FIRST_TRIAL_INTERVAL_MS;

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): RunnerRecord {
    return new RunnerRecord();
  }

  onStarted(request: string, nowMs: number, usualHungAfterMs: number): void {
    if (this.isSilent(nowMs)) {
      this.trialAtMs = nowMs;
      this.trialIntervalMs = Math.min(
        LONGEST_TRIAL_INTERVAL_MS,
        this.trialIntervalMs * 2,
      );
    }
    // A runner that is known to be slow takes longer without hanging.
    const hungAfterMs = usualHungAfterMs * Math.max(1, this.slowness(nowMs));
    this.running.set(request, { startedAtMs: nowMs, hungAfterMs });
  }

  /** Returns the attempt's duration, ms, and whether it had hung. */
  onEnded(
    request: string,
    nowMs: number,
  ): { readonly durationMs: number; readonly wasHung: boolean } | undefined {
    const attempt = this.running.get(request);
    if (attempt === undefined) return undefined;
    this.running.delete(request);
    const durationMs = nowMs - attempt.startedAtMs;
    return { durationMs, wasHung: durationMs > attempt.hungAfterMs };
  }

  /** `usualMs`: usual response time of the service, undefined if unknown. */
  onResponse(
    durationMs: number,
    usualMs: number | undefined,
    nowMs: number,
  ): void {
    this.respondedAtMs = nowMs;
    this.trialIntervalMs = FIRST_TRIAL_INTERVAL_MS;
    this.decay(nowMs);
    this.failureShare *= 1 - SMOOTHING_FACTOR;
    if (usualMs === undefined) return;
    const ratio = Math.max(1, durationMs) / Math.max(1, usualMs);
    const bounded = Math.min(
      MAXIMUM_SLOWNESS,
      Math.max(MINIMUM_SLOWNESS, ratio),
    );
    this.logSlowness +=
      SMOOTHING_FACTOR * (Math.log(bounded) - this.logSlowness);
  }

  onFailure(nowMs: number): void {
    this.decay(nowMs);
    this.failureShare += SMOOTHING_FACTOR * (1 - this.failureShare);
  }

  /** Number of requests that have no response for much longer than usual. */
  hungAt(nowMs: number): number {
    return this.hungStarts(nowMs).length;
  }

  /** Load score in which slow, failing and hanging runners weigh more. */
  weigh({ score, slots, isFull }: RunnerUsage, nowMs: number): number {
    if (this.isSilent(nowMs)) {
      const isTrialDue = nowMs >= this.trialAtMs + this.trialIntervalMs;
      return isTrialDue && !isFull ? TRIAL_SCORE : SILENT_PENALTY + score;
    }
    if (isFull) return FULL_PENALTY + score;
    const hungShare = (1 + this.hungAt(nowMs)) / Math.max(1, slots);
    const failureFactor = 1 + FAILURE_WEIGHT * this.failures(nowMs);
    return (score + hungShare) * this.slowness(nowMs) * failureFactor;
  }

  /**
   * Whether several requests hang and nothing was answered since the first of
   * them started.
   */
  private isSilent(nowMs: number): boolean {
    const hungStarts = this.hungStarts(nowMs);
    if (hungStarts.length < SILENT_FROM_HUNG) return false;
    return this.respondedAtMs < Math.min(...hungStarts);
  }

  private hungStarts(nowMs: number): readonly number[] {
    return Array.from(this.running.values())
      .filter(
        ({ startedAtMs, hungAfterMs }) => nowMs - startedAtMs > hungAfterMs,
      )
      .map(({ startedAtMs }) => startedAtMs);
  }

  private slowness(nowMs: number): number {
    return Math.exp(this.logSlowness * this.remainingWeight(nowMs));
  }

  private failures(nowMs: number): number {
    return this.failureShare * this.remainingWeight(nowMs);
  }

  private decay(nowMs: number): void {
    const weight = this.remainingWeight(nowMs);
    this.logSlowness *= weight;
    this.failureShare *= weight;
    this.updatedAtMs = nowMs;
  }

  private remainingWeight(nowMs: number): number {
    return 0.5 ** ((nowMs - this.updatedAtMs) / HALF_LIFE_MS);
  }
}
