/** A keyed topic of the platform's store: the newest record of each key. */

export interface KeyedRecord {
  readonly key: string;
  /**
   * Absent when the key was dropped. Without bytes where a value is there that
   * the store's answer doesn't give; no decoder takes that for one.
   */
  readonly value: Buffer | undefined;
}

/** Something in a topic that isn't a record: no key can be read from it. */
export interface UnreadableRecord {
  readonly content: Buffer;
  readonly reason: string;
}

export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  readonly unreadable: readonly UnreadableRecord[];
  /** Offset from which to read on. */
  readonly nextOffset: number;
  /** Of the store when it answered; offsets of another one mean nothing here. */
  readonly era: number;
}

/** Writes records of a topic of our own. */
export interface KeyedWriter {
  /**
   * Throws 1901: the record may have been written all the same. What was written
   * is gone when the store comes back from an older copy; its writer writes it
   * again.
   */
  readonly put: (key: string, value: Buffer) => Promise<void>;
}

/**
 * What the adapter of a platform provides. Both throw 1901 on an outage, 1903
 * for an answer of which nothing can be read, and 1904 for one of an earlier era.
 */
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
