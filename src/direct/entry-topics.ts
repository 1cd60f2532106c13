/**
 * Follows the topics of the store that an entry reads: the configuration and
 * the register of runners, which determine who may be served and by whom, and
 * the notes of other processes.
 */
import type { Emit, Measurements } from "../internal.js";
import { registerIntervalMs } from "../membership/register-interval.js";
import { REGISTER_STREAM } from "../membership/register-reader.js";
import type { KeyedRecord, KeyedTopic } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import {
  followTopic,
  type TopicFollowerOptions,
} from "../platform/topic-follower.js";
import { CONFIGURATION_STREAM } from "../routing/newest-configuration.js";

/** Receives the records of a topic, or those that have changed. */
export type RecordsHandler = (records: readonly KeyedRecord[]) => void;

export interface EntryTopicsOptions {
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly findings: RecordFindings;
  /**
   * Time during which a runner that is shutting down may still receive
   * requests, ms.
   */
  readonly drainMs: number;
}

/** Called when a topic can't be read any more and when it can be read again. */
export type TopicOutageHandlers = Pick<
  TopicFollowerOptions,
  "onLost" | "onRestored"
>;

/** Called also when the store was rolled back to an older copy. */
export type ReturnHandlers = TopicOutageHandlers &
  Pick<TopicFollowerOptions, "onReturned">;

/**
 * Long-poll timeout of the configuration topic, ms. The store answers as soon
 * as there is a change. A silent connection is detected after this time and the
 * timeout of a call, which together stay under the three seconds within which
 * entries must follow the store again.
 */
const CONFIGURATION_LONG_POLL_TIMEOUT_MS = 1500;
/**
 * Long-poll timeout of notes of planners and other entries, ms. Notes are rare,
 * and an undetected silent connection only delays them.
 */
const NOTES_LONG_POLL_TIMEOUT_MS = 10_000;

const noop = (): void => undefined;

export class EntryTopics {
  /**
   * Time since which the store has been available, monotonic, ms. Initially the
   * start of this entry, because servers may be registering again at that time.
   */
  private storeAvailableSinceMs = performance.now();

  private constructor(
    private readonly options: EntryTopicsOptions,
    private readonly signal: AbortSignal,
  ) {}

  /** All subscriptions end when the signal aborts. */
  static create(options: EntryTopicsOptions, signal: AbortSignal): EntryTopics {
    return new EntryTopics(options, signal);
  }

  followConfiguration(
    topic: KeyedTopic,
    onSnapshot: RecordsHandler,
    onChanges: RecordsHandler,
    { onReturned, onLost, onRestored }: ReturnHandlers,
  ): void {
    this.follow(CONFIGURATION_STREAM, topic, {
      waitMs: CONFIGURATION_LONG_POLL_TIMEOUT_MS,
      intervalMs: () => 0,
      onSnapshot,
      onChanges,
      onReturned,
      onLost,
      onRestored,
    });
  }

  /** Follows notes of planners or other entries. Notes are never removed. */
  followNotes(
    name: string,
    topic: KeyedTopic,
    onRecords: RecordsHandler,
    onLost: () => void = noop,
  ): void {
    this.follow(name, topic, {
      waitMs: NOTES_LONG_POLL_TIMEOUT_MS,
      intervalMs: () => 0,
      onSnapshot: onRecords,
      onChanges: onRecords,
      onReturned: noop,
      onLost,
      onRestored: noop,
    });
  }

  followRegister(
    topic: KeyedTopic,
    onSnapshot: RecordsHandler,
    onChanges: RecordsHandler,
    { onReturned, onLost, onRestored }: ReturnHandlers,
  ): void {
    this.follow(REGISTER_STREAM, topic, {
      waitMs: 0,
      intervalMs: () =>
        registerIntervalMs(
          this.options.drainMs,
          performance.now() - this.storeAvailableSinceMs,
        ),
      onSnapshot,
      onChanges,
      onReturned: (lastCallWithoutNewEraAtMs) => {
        this.storeAvailableSinceMs = performance.now();
        onReturned(lastCallWithoutNewEraAtMs);
      },
      onLost,
      onRestored: (lastFailedAtMs) => {
        this.storeAvailableSinceMs = performance.now();
        onRestored(lastFailedAtMs);
      },
    });
  }

  private follow(
    name: string,
    topic: KeyedTopic,
    options: Omit<
      TopicFollowerOptions,
      "name" | "topic" | "random" | "emit" | "findings"
    >,
  ): void {
    const { emit, findings, measurements } = this.options;
    void followTopic(
      {
        ...options,
        name,
        topic,
        random: Math.random,
        emit,
        findings,
        onLost: () => {
          measurements.count("storeOutages", { topic: name });
          options.onLost();
        },
      },
      this.signal,
    );
  }
}
