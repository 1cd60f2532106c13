/**
 * Keyed (compacted) topics of the platform's store, which keep the newest
 * record of each key.
 */

export interface KeyedRecord {
  readonly key: string;
  /**
   * Undefined if the key was deleted. Empty if the record has a value that
   * can't be read from the store's answer; every decoder rejects an empty
   * value.
   */
  readonly value: Buffer | undefined;
}

/** A record of a topic whose key can't be decoded. */
export interface UnreadableRecord {
  readonly content: Buffer;
  readonly reason: string;
}

export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  readonly unreadable: readonly UnreadableRecord[];
  /** Offset of the next read. */
  readonly nextOffset: number;
  /** Era of the store when it answered; offsets are valid in their era only. */
  readonly era: number;
}

/** Writes records to one of this product's own topics. */
export interface KeyedWriter {
  /**
   * Throws 1901, after which the record may still have been written. Records
   * are lost when the store is rolled back to an older copy; the caller has to
   * write them again.
   */
  readonly put: (key: string, value: Buffer) => Promise<void>;
}

/**
 * Read access to a keyed topic, implemented by the platform's adapter. Both
 * methods throw 1901 on an outage, 1903 for an answer that can't be decoded,
 * and 1904 for an answer of an earlier era.
 */
export interface KeyedTopic {
  /** The newest record of each key, in write order. */
  readonly newest: (signal: AbortSignal) => Promise<KeyedPage>;
  /**
   * Records written since the offset; waits up to `waitMs` for the first one.
   * Throws 1902 if the store no longer holds that part of the history.
   */
  readonly changes: (
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<KeyedPage>;
}
