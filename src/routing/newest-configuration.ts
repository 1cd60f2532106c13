/**
 * The configuration that a page of the operator's topic brings. A record that
 * can't be read leaves the one before it in force, also when both come in one
 * page.
 */
import { toFailure } from "../internal.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { SiteConfiguration } from "./types.js";

export interface ConfigurationSource {
  /** The key of the configuration's record. */
  readonly key: string;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decode: (value: Buffer) => SiteConfiguration;
  readonly onUnreadable: (record: ValueRecord, reason: string) => void;
}

/** A record that its key still has. */
export interface ValueRecord extends KeyedRecord {
  readonly value: Buffer;
}

/** The name under which findings on configurations are told. */
export const CONFIGURATION_STREAM = "configuration";

/** Undefined when the page has none that can be read. Doesn't throw. */
export function newestConfiguration(
  records: readonly KeyedRecord[],
  { key, decode, onUnreadable }: ConfigurationSource,
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
