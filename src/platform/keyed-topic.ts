/** A keyed topic of the platform's store: the newest record of each key. */

export interface KeyedRecord {
  readonly key: string;
  /** Absent when the key was dropped. */
  readonly value: Buffer | undefined;
}

export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset from which to read on. */
  readonly nextOffset: number;
}

/** Writes records of a topic of our own. */
export interface KeyedWriter {
  /** Throws 1901: the record may have been written all the same. */
  readonly put: (key: string, value: Buffer) => Promise<void>;
}

/** What the adapter of a platform provides. Both throw 1901 on an outage. */
export interface KeyedTopic {
  /** The newest record of each key, in the order in which they were written. */
  readonly newest: (signal: AbortSignal) => Promise<KeyedPage>;
  /**
   * What was written since the offset, waiting up to `waitMs` for a record.
   * Throws 1902 when the store has forgotten that part of the history.
   */
  readonly changes: (
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<KeyedPage>;
}
