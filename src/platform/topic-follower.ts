/**
 * Keeps up with a keyed topic: all newest records once, then what changes. An
 * outage is told once at each end; a forgotten history is read anew, and so is
 * everything when the store comes back from an older copy.
 */
import { pause } from "../daemon/background-task.js";
import { toFailure, type Emit, type Random } from "../internal.js";
import type { KeyedPage, KeyedRecord, KeyedTopic } from "./keyed-topic.js";
import type { RecordFindings } from "./record-findings.js";

/** First pause after a failed call, ms. */
const FIRST_BACKOFF_MS = 100;
/**
 * Longest pause, ms. Refused calls count against the store's limit as well;
 * half a second finds its return well inside the two seconds in which
 * registrations and configurations have to take effect.
 */
const LONGEST_BACKOFF_MS = 500;
const HISTORY_FORGOTTEN = 1902;
const ANSWER_OUTDATED = 1904;

/** Why all newest records are read. */
type ReadCause = "start" | "forgotten" | "returned";

export interface FollowOptions {
  readonly name: string;
  readonly topic: KeyedTopic;
  /** How long the store holds a read open for a record, ms. */
  readonly waitMs: number;
  /** Least time from one read to the next, ms. */
  readonly intervalMs: () => number;
  readonly random: Random;
  readonly emit: Emit;
  /** Takes what the topic holds beside records. */
  readonly findings: RecordFindings;
  /**
   * All newest records: at the start, when history was forgotten, and when the
   * store came back from an older copy.
   */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /**
   * In the order in which they were written. Also given the records of a
   * snapshot, one at a time, when `onSnapshot` has thrown.
   */
  readonly onChanges: (records: readonly KeyedRecord[]) => void;
  /**
   * The store came back from an older copy; the snapshot follows. Given when the
   * last call was made in which it hadn't shown so, by `performance.now()`.
   */
  readonly onReturned: (lastBeforeMs: number) => void;
  readonly onLost: () => void;
  /**
   * Given when the last call that failed was made, by `performance.now()`: the
   * store can't have been back before. Comes before what was read is taken in.
   */
  readonly onRestored: (lastFailedAtMs: number) => void;
}

/** Runs until the signal aborts. */
export async function followTopic(
  options: FollowOptions,
  signal: AbortSignal,
): Promise<void> {
  const follower = TopicFollower.create(options, signal);
  while (!signal.aborted) await follower.step();
}

class TopicFollower {
  private offset: number | undefined;
  /** Of the offset; undefined before the first reading. */
  private era: number | undefined;
  private cause: ReadCause = "start";
  /** When the last call of the known era was made. */
  private lastCalledAtMs = 0;
  private failures = 0;
  private lostAtMs = 0;
  private lastFailedAtMs = 0;

  private constructor(
    private readonly options: FollowOptions,
    private readonly signal: AbortSignal,
  ) {}

  static create(options: FollowOptions, signal: AbortSignal): TopicFollower {
    return new TopicFollower(options, signal);
  }

  async step(): Promise<void> {
    const calledAtMs = performance.now();
    try {
      await this.read(calledAtMs);
      this.onSuccess();
      const isReadAnew = this.offset === undefined;
      if (!isReadAnew) await pause(this.options.intervalMs(), this.signal);
    } catch (error) {
      if (this.signal.aborted) return;
      const failure = toFailure(error, 1901);
      if (failure.number === HISTORY_FORGOTTEN) {
        this.readAnew("forgotten");
        return;
      }
      if (failure.number === ANSWER_OUTDATED) {
        await this.backOff();
        return;
      }
      this.lastFailedAtMs = calledAtMs;
      this.lastCalledAtMs = calledAtMs;
      this.onFailure(failure.message);
      await this.backOff();
    }
  }

  private async read(calledAtMs: number): Promise<void> {
    const { topic, waitMs, onSnapshot, onChanges } = this.options;
    if (this.offset === undefined) {
      const page = await topic.newest(this.signal);
      this.noteEra(page.era);
      this.lastCalledAtMs = calledAtMs;
      this.tellReadAnew(page);
      this.takeIn(page, onSnapshot);
      return;
    }
    const page = await topic.changes(this.offset, waitMs, this.signal);
    // The offset was given out again: what lies before it was never read.
    if (page.era !== this.era) {
      this.readAnew("returned");
      return;
    }
    this.lastCalledAtMs = calledAtMs;
    this.takeIn(page, onChanges);
  }

  private readAnew(cause: ReadCause): void {
    this.offset = undefined;
    this.cause = cause;
  }

  /** Tells of a return before what was read then is taken in. */
  private noteEra(era: number): void {
    const before = this.era;
    this.era = era;
    if (before === undefined || before === era) return;
    this.cause = "returned";
    this.options.onReturned(this.lastCalledAtMs);
  }

  private tellReadAnew({ records, nextOffset, era }: KeyedPage): void {
    const { name, emit } = this.options;
    const { cause } = this;
    const { length } = records;
    emit(195, { stream: name, cause, records: length, nextOffset, era });
  }

  private takeIn(
    { records, unreadable, nextOffset }: KeyedPage,
    take: (records: readonly KeyedRecord[]) => void,
  ): void {
    const { name, findings, onSnapshot } = this.options;
    this.offset = nextOffset;
    this.onSuccess();
    findings.noteUnreadable(name, unreadable);
    if (records.length === 0 && take !== onSnapshot) return;
    if (this.isTaken(records, take)) return;
    this.takeEach(records);
  }

  /**
   * Whoever takes records in judges each for itself and doesn't throw. Should
   * one do so, the store is well all the same, and what the others say isn't
   * read again: taken one at a time, a record costs no more than itself.
   */
  private takeEach(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      this.isTaken([record], this.options.onChanges);
    }
  }

  private isTaken(
    records: readonly KeyedRecord[],
    take: (records: readonly KeyedRecord[]) => void,
  ): boolean {
    try {
      take(records);
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
    const doubled = FIRST_BACKOFF_MS * 2 ** Math.min(this.failures - 1, 8);
    const longest = Math.min(LONGEST_BACKOFF_MS, doubled);
    await pause(longest * (0.5 + this.options.random() / 2), this.signal);
  }
}
