/** Keeps the configuration in force: reads the log's stream record by record. */
import { createHash } from "node:crypto";
import {
  configurationSchema,
  raise,
  type Configuration,
  type Emit,
} from "../internal.js";
import type { LogClient, LogRecord } from "../platform/log-client.js";

export const CONFIGURATION_STREAM = "configuration";
const LONG_POLL_MS = 2000;

export interface InForce {
  /** Offset of the publication in the log. */
  readonly version: number;
  readonly hash: string;
  readonly configuration: Configuration;
}

export class ConfigurationFollower {
  private current: InForce | undefined;
  private nextOffset = 0;

  private constructor(
    private readonly log: LogClient,
    private readonly emit: Emit,
  ) {}

  static create(log: LogClient, emit: Emit): ConfigurationFollower {
    return new ConfigurationFollower(log, emit);
  }

  get inForce(): InForce | undefined {
    return this.current;
  }

  /** Throws 1103 before the first version is known. */
  get configuration(): Configuration {
    return this.current?.configuration ?? raise(1103);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.log.read(CONFIGURATION_STREAM, {
        from: this.nextOffset,
        waitMs: LONG_POLL_MS,
        signal,
      });
      for (const record of page.records) this.apply(record);
    }
  }

  private apply({ offset, data }: LogRecord): void {
    this.nextOffset = offset + 1;
    const record = JSON.parse(data.toString()) as { configuration: unknown };
    const result = configurationSchema.safeParse(record.configuration);
    if (!result.success) {
      const reason = result.error.message;
      this.emit(112, { offset, error: 1101, reason });
      return;
    }
    const hash = createHash("sha256").update(data).digest("hex").slice(0, 16);
    this.current = { version: offset, hash, configuration: result.data };
    this.emit(111, { version: offset, hash, source: "log" });
  }
}
