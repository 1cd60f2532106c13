/** Reads the properties of the service's engines from the configuration. */
import type { KeyedTopic } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import type { Emit } from "../internal.js";
import {
  CONFIGURATION_STREAM,
  newestConfiguration,
} from "../routing/newest-configuration.js";
import type { EngineProperties, SiteConfiguration } from "../routing/types.js";

export interface EngineSourceOptions {
  readonly service: string;
  readonly configuration: KeyedTopic;
  readonly configurationKey: string;
  readonly decodeConfiguration: (value: Buffer) => SiteConfiguration;
  readonly findings: RecordFindings;
  readonly emit: Emit;
  readonly onUnreachable: (error: unknown) => void;
}

export class EngineSource {
  private engine: EngineProperties | undefined;
  /** Version of the configuration that `engine` comes from. */
  private engineVersion = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: EngineSourceOptions) {}

  static create(options: EngineSourceOptions): EngineSource {
    return new EngineSource(options);
  }

  /**
   * Throws 1901 while the store is unreachable and the properties aren't
   * known yet.
   */
  async read(signal: AbortSignal): Promise<EngineProperties | undefined> {
    const { configuration, service, onUnreachable } = this.options;
    try {
      const { records } = await configuration.newest(signal);
      const newest = this.newestOf(records);
      if (newest === undefined) return this.engine;
      // The store may have been rolled back to an older copy.
      if (newest.version < this.engineVersion) return this.engine;
      this.engineVersion = newest.version;
      const own = newest.services.find(({ name }) => name === service);
      this.engine = own?.engine;
    } catch (error) {
      // An engine's properties hardly ever change, and the group needs a
      // planner.
      if (this.engine === undefined) throw error;
      onUnreachable(error);
    }
    return this.engine;
  }

  private newestOf(
    records: Parameters<typeof newestConfiguration>[0],
  ): SiteConfiguration | undefined {
    const { configurationKey, decodeConfiguration, findings, emit } =
      this.options;
    return newestConfiguration(records, {
      key: configurationKey,
      decode: decodeConfiguration,
      onUnreadable: ({ key, value }, reason) => {
        const finding = { stream: CONFIGURATION_STREAM, key, content: value };
        if (findings.isNew(finding)) emit(202, { reason });
      },
    });
  }
}
