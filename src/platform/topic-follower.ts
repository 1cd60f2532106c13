/**
 * Follows a keyed topic: reads the newest record of each key once, then the
 * changes. The start and the end of an outage are each reported once. All
 * newest records are read again if the store no longer holds the history or was
 * rolled back to an older copy.
 */
import { pause } from "../daemon/background-task.js";
import { toFailure, type Emit, type Random } from "../internal.js";
import type { KeyedPage, KeyedRecord, KeyedTopic } from "./keyed-topic.js";
import type { RecordFindings } from "./record-findings.js";

const INITIAL_BACKOFF_MS = 100;
/**
 * Refused calls count against the store's limit too, so the pause can't be much
 * shorter. Half a second detects the store's recovery well within the two
 * seconds in which registrations and configurations must take effect.
 */
const MAXIMUM_BACKOFF_MS = 500;
const HISTORY_LOST_ERROR = 1902;
const ANSWER_OUTDATED_ERROR = 1904;

/**
 * Why all newest records are read: first read, history lost, or store restored.
 */
type FullReadCause = "start" | "forgotten" | "returned";

export interface TopicFollowerOptions {
  readonly name: string;
  readonly topic: KeyedTopic;
  /**
   * How long the store holds a read open if there is no record, ms. During an
   * outage it holds none open.
   */
  readonly waitMs: number;
  /** Pause after each successful read, ms. */
  readonly intervalMs: () => number;
  readonly random: Random;
  readonly emit: Emit;
  /** Receives the records whose key can't be decoded. */
  readonly findings: RecordFindings;
  /**
   * Receives all newest records: at the start, after the history was lost, and
   * after the store was rolled back to an older copy.
   */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /**
   * Receives changed records in write order, and the records of a snapshot one
   * at a time after `onSnapshot` has thrown.
   */
  readonly onChanges: (records: readonly KeyedRecord[]) => void;
  /**
   * The store was rolled back to an older copy; the snapshot follows. The
   * argument is the start of the last call that didn't show the new era, on the
   * clock of `performance.now()`.
   */
  readonly onReturned: (lastCallWithoutNewEraAtMs: number) => void;
  readonly onLost: () => void;
  /**
   * The store answers again; called before the records read are applied. The
   * argument is the start of the last failed call, on the clock of
   * `performance.now()`: the store can't have recovered before.
   */
  readonly onRestored: (lastFailedAtMs: number) => void;
}

/** Runs until the signal aborts. */
export async function followTopic(
  options: TopicFollowerOptions,
  signal: AbortSignal,
): Promise<void> {
  const follower = TopicFollower.create(options, signal);
  while (!signal.aborted) await follower.step();
}

class TopicFollower {
  private offset: number | undefined;
  /** Era of `offset`; undefined before the first read. */
  private era: number | undefined;
  private cause: FullReadCause = "start";
  /** Start of the last call that didn't show a new era. */
  private lastCallWithoutNewEraAtMs = 0;
  private failures = 0;
  private lostAtMs = 0;
  private lastFailedAtMs = 0;

  private constructor(
    private readonly options: TopicFollowerOptions,
    private readonly signal: AbortSignal,
  ) {}

  static create(
    options: TopicFollowerOptions,
    signal: AbortSignal,
  ): TopicFollower {
    return new TopicFollower(options, signal);
  }

  async step(): Promise<void> {
    const calledAtMs = performance.now();
    try {
      await this.read(calledAtMs);
      this.onSuccess();
      const needsFullRead = this.offset === undefined;
      if (!needsFullRead) await pause(this.options.intervalMs(), this.signal);
    } catch (error) {
      if (this.signal.aborted) return;
      const failure = toFailure(error, 1901);
      if (failure.number === HISTORY_LOST_ERROR) {
        this.scheduleFullRead("forgotten");
        return;
      }
      if (failure.number === ANSWER_OUTDATED_ERROR) {
        await this.backOff();
        return;
      }
      this.lastFailedAtMs = calledAtMs;
      this.lastCallWithoutNewEraAtMs = calledAtMs;
      this.onFailure(failure.message);
      await this.backOff();
    }
  }

  private async read(calledAtMs: number): Promise<void> {
    const { topic, onSnapshot, onChanges } = this.options;
    if (this.offset === undefined) {
      const page = await topic.newest(this.signal);
      this.updateEra(page.era);
      this.lastCallWithoutNewEraAtMs = calledAtMs;
      this.emitFullRead(page);
      this.applyPage(page, onSnapshot);
      return;
    }
    const page = await topic.changes(this.offset, this.waitMs, this.signal);
    // In a new era offsets are reused, so records before this one may be
    // unread.
    if (page.era !== this.era) {
      this.scheduleFullRead("returned");
      return;
    }
    this.lastCallWithoutNewEraAtMs = calledAtMs;
    this.applyPage(page, onChanges);
  }

  /**
   * During an outage reads don't wait for a record: one that begins before the
   * store is back and gets no response would only be given up after the waiting
   * time.
   */
  private get waitMs(): number {
    return this.failures === 0 ? this.options.waitMs : 0;
  }

  private scheduleFullRead(cause: FullReadCause): void {
    this.offset = undefined;
    this.cause = cause;
  }

  /**
   * Reports a rolled-back store before the records read from it are applied.
   */
  private updateEra(era: number): void {
    const previous = this.era;
    this.era = era;
    if (previous === undefined || previous === era) return;
    this.cause = "returned";
    this.options.onReturned(this.lastCallWithoutNewEraAtMs);
  }

  private emitFullRead({ records, nextOffset, era }: KeyedPage): void {
    const { name, emit } = this.options;
    const { cause } = this;
    const { length } = records;
    emit(195, { stream: name, cause, records: length, nextOffset, era });
  }

  private applyPage(
    { records, unreadable, nextOffset }: KeyedPage,
    apply: (records: readonly KeyedRecord[]) => void,
  ): void {
    const { name, findings, onSnapshot } = this.options;
    this.offset = nextOffset;
    this.onSuccess();
    findings.reportUnreadable(name, unreadable);
    if (records.length === 0 && apply !== onSnapshot) return;
    if (this.tryApply(records, apply)) return;
    this.applyIndividually(records);
  }

  /**
   * Callbacks validate each record and shouldn't throw. If one does, that isn't
   * a failure of the store, and the records aren't read again. Applied one at a
   * time, a bad record doesn't affect the others.
   */
  private applyIndividually(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      this.tryApply([record], this.options.onChanges);
    }
  }

  private tryApply(
    records: readonly KeyedRecord[],
    apply: (records: readonly KeyedRecord[]) => void,
  ): boolean {
    try {
      apply(records);
      return true;
    } catch (error) {
      const { name, emit } = this.options;
      const reason = toFailure(error, 1903).message;
      emit(194, { stream: name, records: records.length, reason });
      return false;
    }
  }

  private onSuccess(): void {
    if (this.failures === 0) return;
    this.failures = 0;
    const { name, emit, onRestored } = this.options;
    const outageMs = Math.round(performance.now() - this.lostAtMs);
    emit(192, { stream: name, outageMs });
    onRestored(this.lastFailedAtMs);
  }

  private onFailure(reason: string): void {
    this.failures += 1;
    if (this.failures > 1) return;
    this.lostAtMs = performance.now();
    const { name, emit, onLost } = this.options;
    emit(191, { stream: name, reason });
    onLost();
  }

  private async backOff(): Promise<void> {
    const exponential =
      INITIAL_BACKOFF_MS * 2 ** Math.min(this.failures - 1, 8);
    const maximum = Math.min(MAXIMUM_BACKOFF_MS, exponential);
    await pause(maximum * (0.5 + this.options.random() / 2), this.signal);
  }
}
