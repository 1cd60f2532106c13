/** The configuration that an entry applies. */
import type { Emit, Measurements } from "../internal.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import {
  CONFIGURATION_STREAM,
  newestConfiguration,
} from "../routing/newest-configuration.js";
import { RouteTable } from "../routing/route-table.js";
import type { SiteConfiguration } from "../routing/types.js";

export interface EntryConfigurationOptions {
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly findings: RecordFindings;
  /** The key of the configuration's record. */
  readonly key: string;
  /** Throws 1903 for a record that can't be decoded. */
  readonly decode: (value: Buffer) => SiteConfiguration;
  readonly onApplied: (configuration: SiteConfiguration) => void;
}

export class EntryConfiguration {
  private current: RouteTable | undefined;

  private constructor(private readonly options: EntryConfigurationOptions) {}

  static create(options: EntryConfigurationOptions): EntryConfiguration {
    return new EntryConfiguration(options);
  }

  /** Undefined until a configuration has been read. */
  get routes(): RouteTable | undefined {
    return this.current;
  }

  /** Doesn't throw: unreadable records are logged once each. */
  apply(records: readonly KeyedRecord[]): void {
    const { emit, findings, key, decode } = this.options;
    const newest = newestConfiguration(records, {
      key,
      decode,
      onUnreadable: ({ key, value }, reason) => {
        const finding = { stream: CONFIGURATION_STREAM, key, content: value };
        if (findings.isNew(finding)) emit(202, { reason });
      },
    });
    if (newest !== undefined) this.applyNewest(newest);
  }

  /**
   * A running process never returns to an older configuration, even if the
   * store does.
   */
  private applyNewest(configuration: SiteConfiguration): void {
    const { emit, measurements, onApplied } = this.options;
    const known = this.current?.version ?? Number.NEGATIVE_INFINITY;
    if (configuration.version <= known) return;
    this.current = RouteTable.create(configuration);
    onApplied(configuration);
    const { version, routes, accounts } = configuration;
    measurements.set("configurationVersion", version);
    emit(201, { version, routes: routes.length, accounts: accounts.length });
  }
}
