/** What an entry needs from its surroundings: settings, topics and codecs. */
import type { EvacuationRecord } from "../evacuation/types.js";
import type { RegisterChange } from "../membership/types.js";
import type {
  KeyedRecord,
  KeyedTopic,
  KeyedWriter,
} from "../platform/keyed-topic.js";
import type { StoreEra } from "../platform/store-era.js";
import type { SiteConfiguration } from "../routing/types.js";
import type { DirectEntrySettings } from "./settings.js";
import type { ReadSlowness } from "./slow-runner-probe.js";
import type { HeaderCodec } from "./types.js";

export interface DirectEntryOptions {
  readonly settings: DirectEntrySettings;
  readonly codec: HeaderCodec;
  /** Era of the store that holds the topics. */
  readonly era: StoreEra;
  readonly configuration: KeyedTopic;
  /** The key of the configuration's record. */
  readonly configurationKey: string;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decodeConfiguration: (value: Buffer) => SiteConfiguration;
  /**
   * Undefined for other records of the configuration's topic. Throws 1903 for
   * an evacuation whose data centre can't be read.
   */
  readonly decodeEvacuation: (
    record: KeyedRecord,
  ) => EvacuationRecord | undefined;
  readonly register: KeyedTopic;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decodeServer: (record: KeyedRecord) => RegisterChange;
  /** Which runners are slow. */
  readonly pace: KeyedTopic;
  /** Which runners form a group. */
  readonly groups: KeyedTopic;
  /**
   * Notes about requests that may have crashed runners. This entry writes its
   * own through `suspectNotes`.
   */
  readonly suspects: KeyedTopic;
  readonly suspectNotes: KeyedWriter;
  /**
   * Limits that runners have named to entries. This entry writes those that it
   * has heard of through `limitNotes`.
   */
  readonly limits: KeyedTopic;
  readonly limitNotes: KeyedWriter;
  /** Ratio of the runner's response time to its usual one. Throws 1607. */
  readonly slownessOf: ReadSlowness;
  /** Path of the readiness check of the platform's load balancer. */
  readonly readinessPath: string;
}
