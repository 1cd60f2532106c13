/**
 * The topics of the store that an entry follows: configuration and register for as
 * long as they say who may be served and by whom, and notes of other processes.
 */
import type { Emit, Measurements } from "../internal.js";
import { registerIntervalMs } from "../membership/register-interval.js";
import { REGISTER_STREAM } from "../membership/register-reader.js";
import type { KeyedRecord, KeyedTopic } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { followTopic, type FollowOptions } from "../platform/topic-follower.js";
import { CONFIGURATION_STREAM } from "../routing/newest-configuration.js";

/** Takes what a topic holds or what has changed in it. */
export type TakeRecords = (records: readonly KeyedRecord[]) => void;

export interface EntryTopicsOptions {
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly findings: RecordFindings;
  /** Time for which a leaving runner may still get work, ms. */
  readonly drainMs: number;
}

/** What is done with a topic beside taking its records. */
export type TopicWatch = Pick<FollowOptions, "onLost" | "onRestored">;

export type RegisterWatch = TopicWatch & Pick<FollowOptions, "onReturned">;

/**
 * Longest read of the configuration, ms. The store answers as soon as there is
 * a change; a connection that fell silent is noticed after this time.
 */
const CONFIGURATION_WAIT_MS = 2000;
/**
 * Longest read of notes of planners and other entries, ms. There are none for
 * most of the time; a connection that fell silent costs no more than late news.
 */
const NOTES_WAIT_MS = 10_000;

const nothing = (): void => undefined;

export class EntryTopics {
  /** Monotonic, ms. An entry may start while servers register again. */
  private storeReturnedAtMs = performance.now();

  private constructor(
    private readonly options: EntryTopicsOptions,
    private readonly signal: AbortSignal,
  ) {}

  /** Everything is followed until the signal aborts. */
  static create(options: EntryTopicsOptions, signal: AbortSignal): EntryTopics {
    return new EntryTopics(options, signal);
  }

  followConfiguration(
    topic: KeyedTopic,
    take: TakeRecords,
    { onLost, onRestored }: TopicWatch,
  ): void {
    this.follow(CONFIGURATION_STREAM, topic, {
      waitMs: CONFIGURATION_WAIT_MS,
      intervalMs: () => 0,
      onSnapshot: take,
      onChanges: take,
      onReturned: nothing,
      onLost,
      onRestored,
    });
  }

  /** Notes that planners or other entries write; none of them is removed. */
  followNotes(name: string, topic: KeyedTopic, take: TakeRecords): void {
    this.follow(name, topic, {
      waitMs: NOTES_WAIT_MS,
      intervalMs: () => 0,
      onSnapshot: take,
      onChanges: take,
      onReturned: nothing,
      onLost: nothing,
      onRestored: nothing,
    });
  }

  followRegister(
    topic: KeyedTopic,
    onSnapshot: TakeRecords,
    onChanges: TakeRecords,
    { onReturned, onLost, onRestored }: RegisterWatch,
  ): void {
    this.follow(REGISTER_STREAM, topic, {
      waitMs: 0,
      intervalMs: () =>
        registerIntervalMs(
          this.options.drainMs,
          performance.now() - this.storeReturnedAtMs,
        ),
      onSnapshot,
      onChanges,
      onReturned: (lastBeforeMs) => {
        this.storeReturnedAtMs = performance.now();
        onReturned(lastBeforeMs);
      },
      onLost,
      onRestored: (lastFailedAtMs) => {
        this.storeReturnedAtMs = performance.now();
        onRestored(lastFailedAtMs);
      },
    });
  }

  private follow(
    name: string,
    topic: KeyedTopic,
    options: Omit<
      FollowOptions,
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
