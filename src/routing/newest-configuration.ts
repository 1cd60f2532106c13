/**
 * Finds the newest readable configuration in a page of the operator's topic. A
 * record that can't be decoded leaves the one before it in force, also when
 * both are in the same page.
 */
import { toFailure } from "../internal.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { SiteConfiguration } from "./types.js";

export interface NewestConfigurationOptions {
  /** Key of the configuration's records. */
  readonly key: string;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decode: (value: Buffer) => SiteConfiguration;
  readonly onUnreadable: (record: ValueRecord, reason: string) => void;
}

/** A record with a value, thus not a tombstone. */
export interface ValueRecord extends KeyedRecord {
  readonly value: Buffer;
}

/** Name of the stream of configurations, in the log and in events. */
export const CONFIGURATION_STREAM = "configuration";

/** Returns undefined if no configuration can be read. Doesn't throw. */
export function newestConfiguration(
  records: readonly KeyedRecord[],
  { key, decode, onUnreadable }: NewestConfigurationOptions,
): SiteConfiguration | undefined {
  for (const record of [...records].reverse()) {
    const { value } = record;
    if (record.key !== key || value === undefined) continue;
    try {
      return decode(value);
    } catch (error) {
      onUnreadable({ key, value }, toFailure(error, 1903).message);
    }
  }
  return undefined;
}
