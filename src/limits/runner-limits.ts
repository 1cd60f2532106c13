/**
 * Which runners limit the requests that they receive, and this entry's share of
 * each limit. A runner in need names a limit for all entries together. Entries
 * that have heard of it tell each other and divide it evenly. The limit ends
 * when the runner answers without naming it.
 *
 * Designed for dozens of entries, any of which may start, restart or lose the
 * store at any time. An entry that can't tell the others of itself isn't
 * counted by them, so it takes a share that is small enough for all entries to
 * be in that situation.
 */
import type { Emit, Measurements, Now, Random } from "../internal.js";
import { RateShare } from "./rate-share.js";
import type { LimitRecord, RunnerLimit } from "./types.js";

export interface RunnerLimitsInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly measurements: Measurements;
  /** Called when this entry's own record has changed. */
  readonly onChanged: () => void;
}

/**
 * Time for which a record applies after it was written or read, ms, unless it
 * is written again.
 */
export const LIMIT_RECORD_TTL_MS = 9000;
/** Time without an answer after which a runner's limit is forgotten, ms. */
const OWN_LIMIT_TTL_MS = 60_000;
/** Divisor of a limit at an entry that can't tell the others of itself. */
export const SHARERS_WITHOUT_STORE = 128;
/**
 * Minimum that is assumed of a limit, requests per second: without a request
 * now and then, nobody would hear that the limit has ended.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;

/** A limit that this entry has heard of from the runner itself. */
interface OwnLimit {
  readonly requestsPerSecond: number;
  readonly heardAtMs: number;
}

interface OtherRecord {
  readonly limits: ReadonlyMap<string, number>;
  readonly untilMs: number;
}

interface LimitShare {
  readonly requestsPerSecond: number;
  readonly sharers: number;
  readonly rate: RateShare;
}

export class RunnerLimits {
  private readonly own = new Map<string, OwnLimit>();
  /** Records of the other entries, by entry. */
  private readonly others = new Map<string, OtherRecord>();
  /** Runners that told this entry of the end of a limit others still list. */
  private readonly ended = new Set<string>();
  private readonly shares = new Map<string, LimitShare>();
  private writtenUntilMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly inputs: RunnerLimitsInputs) {}

  static create(inputs: RunnerLimitsInputs): RunnerLimits {
    return new RunnerLimits(inputs);
  }

  get ownRecord(): LimitRecord {
    const limits = Array.from(
      this.own,
      ([runner, { requestsPerSecond }]): RunnerLimit => ({
        runner,
        requestsPerSecond,
      }),
    );
    return { limits };
  }

  /**
   * The runner has answered a request that was sent at `sentAtMs`, monotonic.
   * `requestsPerSecond`: the limit that its answer names, if any.
   */
  onAnswer(
    runner: string,
    requestsPerSecond: number | undefined,
    sentAtMs: number,
  ): void {
    if (requestsPerSecond === undefined) this.onUnlimited(runner, sentAtMs);
    else this.onLimited(runner, requestsPerSecond);
  }

  /** The runner's incarnation has ended. */
  forget(runner: string): void {
    this.ended.delete(runner);
    this.shares.delete(runner);
    if (this.own.delete(runner)) this.onOwnChanged();
  }

  /** Applies the record of another entry. */
  apply(entry: string, { limits }: LimitRecord): void {
    const untilMs = this.inputs.now() + LIMIT_RECORD_TTL_MS;
    const byRunner = new Map(
      limits.map((limit) => [limit.runner, limit.requestsPerSecond]),
    );
    if (byRunner.size === 0) this.others.delete(entry);
    else this.others.set(entry, { limits: byRunner, untilMs });
    for (const runner of this.ended) {
      if (this.ratesNamedByOthers(runner).length === 0) {
        this.ended.delete(runner);
      }
    }
  }

  /** The own record was written by a call that began at `startedAtMs`. */
  onWritten(startedAtMs: number): void {
    this.writtenUntilMs = startedAtMs + LIMIT_RECORD_TTL_MS;
  }

  /** The store can't be read, so records of others may be missed. */
  onStoreLost(): void {
    this.writtenUntilMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Forgets limits of runners that haven't answered for so long that they may
   * be gone.
   */
  dropUnheard(): void {
    const sinceMs = this.inputs.now() - OWN_LIMIT_TTL_MS;
    for (const [runner, { heardAtMs }] of this.own) {
      if (heardAtMs < sinceMs) this.forget(runner);
    }
  }

  /** Whether a request may be sent to the runner now. */
  isOpen(runner: string): boolean {
    return this.shareOf(runner)?.rate.isOpen ?? true;
  }

  /** A request is sent to the runner. */
  onSent(runner: string): void {
    this.shareOf(runner)?.rate.take();
  }

  private onLimited(runner: string, requestsPerSecond: number): void {
    const { now, emit } = this.inputs;
    const known = this.own.get(runner);
    this.ended.delete(runner);
    this.own.set(runner, { requestsPerSecond, heardAtMs: now() });
    if (known?.requestsPerSecond === requestsPerSecond) return;
    emit(235, { runner, requestsPerSecond });
    this.onOwnChanged();
  }

  private onUnlimited(runner: string, sentAtMs: number): void {
    const known = this.own.get(runner);
    // An answer to an earlier request may have been on its way already.
    if (known === undefined || sentAtMs < known.heardAtMs) return;
    this.own.delete(runner);
    this.shares.delete(runner);
    if (this.ratesNamedByOthers(runner).length > 0) this.ended.add(runner);
    this.inputs.emit(236, { runner });
    this.onOwnChanged();
  }

  private onOwnChanged(): void {
    this.inputs.measurements.set("limitedRunners", this.own.size);
    this.inputs.onChanged();
  }

  /** Undefined if the runner has no limit. */
  private shareOf(runner: string): LimitShare | undefined {
    if (this.own.size === 0 && this.others.size === 0) return undefined;
    const own = this.own.get(runner);
    const named = this.ratesNamedByOthers(runner);
    const isLimited =
      own !== undefined || (named.length > 0 && !this.ended.has(runner));
    if (!isLimited) {
      this.shares.delete(runner);
      return undefined;
    }
    const requestsPerSecond = own?.requestsPerSecond ?? Math.min(...named);
    const sharers = this.sharersWith(named.length, own !== undefined);
    return this.updatedShare(runner, requestsPerSecond, sharers);
  }

  private sharersWith(others: number, isOwn: boolean): number {
    const sharers = others + 1;
    const isUnwritten = isOwn && this.inputs.now() >= this.writtenUntilMs;
    return isUnwritten ? Math.max(sharers, SHARERS_WITHOUT_STORE) : sharers;
  }

  private updatedShare(
    runner: string,
    requestsPerSecond: number,
    sharers: number,
  ): LimitShare {
    const known = this.shares.get(runner);
    const isSame =
      known?.requestsPerSecond === requestsPerSecond &&
      known.sharers === sharers;
    if (isSame) return known;
    const { now, random } = this.inputs;
    const limit = Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
    const rate = RateShare.create({
      now,
      random,
      requestsPerSecond: limit / sharers,
    });
    const share = { requestsPerSecond, sharers, rate };
    this.shares.set(runner, share);
    return share;
  }

  private ratesNamedByOthers(runner: string): readonly number[] {
    const nowMs = this.inputs.now();
    const rates: number[] = [];
    for (const [entry, { limits, untilMs }] of this.others) {
      const rate = limits.get(runner);
      if (untilMs <= nowMs) this.others.delete(entry);
      else if (rate !== undefined) rates.push(rate);
    }
    return rates;
  }
}
