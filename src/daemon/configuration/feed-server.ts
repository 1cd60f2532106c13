/** Hands the configuration stream on to other processes. */
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

/** A feed that is quiet for longer has lost its connection. */
export const FEED_HEARTBEAT_MS = 1000;

type FeedStream = ServerWritableStream<FollowRequest, FeedBatch>;

export interface FeedSource {
  /** Nothing while this process can't vouch for its state. */
  readonly snapshot: () => Checkpoint | undefined;
  readonly startOffset: () => number;
  readonly nextOffset: () => number;
  /** False while this process is itself fed by another one. */
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
      this.open(stream);
    },
  };

  /** Processes that follow this one. */
  get followers(): number {
    return this.streams.size;
  }

  /** Records that follow on what was handed on before. */
  publish(records: readonly LogRecord[]): void {
    if (records.length === 0) return;
    const batch = this.batch(records, undefined);
    for (const stream of this.streams) stream.write(batch);
  }

  /** The state moved on past records that were never read here. */
  publishJump(): void {
    const batch = this.batch([], this.source.snapshot());
    for (const stream of this.streams) stream.write(batch);
  }

  /** Called every `FEED_HEARTBEAT_MS`. */
  beat(): void {
    if (this.streams.size === 0) return;
    const batch = this.batch([], undefined);
    for (const stream of this.streams) stream.write(batch);
  }

  private open(stream: FeedStream): void {
    const { clock, fromOffset } = stream.request;
    this.context.clock.observe(clock);
    const snapshot = this.source.snapshot();
    if (snapshot === undefined) {
      stream.emit("error", { code: status.UNAVAILABLE });
      return;
    }
    const isBehind = fromOffset < this.source.nextOffset();
    stream.write(this.batch([], isBehind ? snapshot : undefined));
    this.streams.add(stream);
    const drop = (): void => {
      this.streams.delete(stream);
    };
    stream.on("cancelled", drop);
    stream.on("close", drop);
    stream.on("error", drop);
  }

  private batch(
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
