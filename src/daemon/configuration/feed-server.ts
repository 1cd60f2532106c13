/** Relays the configuration stream to other processes. */
import { status, type ServerWritableStream } from "@grpc/grpc-js";
import {
  encodeEnvelope,
  type Checkpoint,
  type LogRecord,
} from "../../internal.js";
import type {
  ConfigurationFeedServer,
  FeedBatch,
  FollowRequest,
} from "../../wire/generated/configuration.js";
import type { ProcessContext } from "../process-context.js";

/** An idle feed sends a batch this often, so that lost connections show. */
export const FEED_HEARTBEAT_INTERVAL_MS = 1000;

type FeedStream = ServerWritableStream<FollowRequest, FeedBatch>;

export interface FeedSource {
  /** Undefined while this process can't confirm its state. */
  readonly snapshot: () => Checkpoint | undefined;
  readonly startOffset: () => number;
  readonly nextOffset: () => number;
  /** False while this process itself follows a relay. */
  readonly readsLog: () => boolean;
}

export class FeedServer {
  private readonly streams = new Set<FeedStream>();

  private constructor(
    private readonly context: ProcessContext,
    private readonly source: FeedSource,
  ) {}

  static create(context: ProcessContext, source: FeedSource): FeedServer {
    return new FeedServer(context, source);
  }

  readonly service: ConfigurationFeedServer = {
    follow: (stream: FeedStream) => {
      this.onFollow(stream);
    },
  };

  /** Number of processes that follow this one. */
  get followers(): number {
    return this.streams.size;
  }

  /** Sends records that directly follow those sent before. */
  publish(records: readonly LogRecord[]): void {
    if (records.length === 0) return;
    const batch = this.createBatch(records, undefined);
    for (const stream of this.streams) stream.write(batch);
  }

  /** Sends the state after it skipped records that this process never read. */
  publishSnapshot(): void {
    const batch = this.createBatch([], this.source.snapshot());
    for (const stream of this.streams) stream.write(batch);
  }

  /** Must be called every `FEED_HEARTBEAT_INTERVAL_MS`. */
  sendHeartbeat(): void {
    if (this.streams.size === 0) return;
    const batch = this.createBatch([], undefined);
    for (const stream of this.streams) stream.write(batch);
  }

  private onFollow(stream: FeedStream): void {
    const { clock, fromOffset } = stream.request;
    this.context.clock.observe(clock);
    const snapshot = this.source.snapshot();
    if (snapshot === undefined) {
      stream.emit("error", { code: status.UNAVAILABLE });
      return;
    }
    const isBehind = fromOffset < this.source.nextOffset();
    stream.write(this.createBatch([], isBehind ? snapshot : undefined));
    this.streams.add(stream);
    const removeStream = (): void => {
      this.streams.delete(stream);
    };
    stream.on("cancelled", removeStream);
    stream.on("close", removeStream);
    stream.on("error", removeStream);
  }

  private createBatch(
    records: readonly LogRecord[],
    snapshot: Checkpoint | undefined,
  ): FeedBatch {
    const encoded =
      snapshot === undefined ? new Uint8Array() : encodeEnvelope(snapshot);
    return {
      clock: this.context.clock.read(),
      startOffset: this.source.startOffset(),
      nextOffset: this.source.nextOffset(),
      records: records.map(({ offset, appendedAtMs, data }) => ({
        offset,
        appendedAtMs,
        data: Buffer.from(data),
      })),
      snapshot: Buffer.from(encoded),
      readsLog: this.source.readsLog(),
    };
  }
}
