/** Follows the configuration stream at another process. */
import { toFailure } from "../../internal.js";
import {
  ConfigurationFeedClient,
  type FeedBatch,
} from "../../wire/generated/configuration.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";
import { FEED_HEARTBEAT_MS } from "./feed-server.js";

/** Three heartbeats and a half: then another peer or the log is asked. */
const SILENCE_MS = 3.5 * FEED_HEARTBEAT_MS;

export interface FeedOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  readonly address: string;
  readonly fromOffset: number;
  readonly signal: AbortSignal;
  /** Returns whether to go on. */
  readonly onBatch: (batch: FeedBatch) => boolean;
}

/** Ends when the peer falls silent or `onBatch` has enough; else throws 2001. */
export async function followPeer(options: FeedOptions): Promise<void> {
  const { context, transport, address, fromOffset, signal } = options;
  const credentials = clientCredentials(transport, address);
  const client = new ConfigurationFeedClient(
    address,
    credentials,
    channelOptions,
  );
  const stream = client.follow({ clock: context.clock.read(), fromOffset });
  const stop = (): void => {
    stream.cancel();
  };
  let silence = setTimeout(stop, SILENCE_MS);
  signal.addEventListener("abort", stop, { once: true });
  try {
    for await (const batch of stream as AsyncIterable<FeedBatch>) {
      clearTimeout(silence);
      context.clock.observe(batch.clock);
      if (!options.onBatch(batch)) return;
      silence = setTimeout(stop, SILENCE_MS);
    }
  } catch (error) {
    throw toFailure(error, 2001);
  } finally {
    clearTimeout(silence);
    signal.removeEventListener("abort", stop);
    stream.cancel();
    client.close();
  }
}
