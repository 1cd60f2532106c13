/** Follows the configuration stream of another process. */
import { toFailure } from "../../internal.js";
import {
  ConfigurationFeedClient,
  type FeedBatch,
} from "../../wire/generated/configuration.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";
import { FEED_HEARTBEAT_INTERVAL_MS } from "./feed-server.js";

/** After this silence, 3.5 heartbeats, the follower tries other sources. */
const FEED_IDLE_TIMEOUT_MS = 3.5 * FEED_HEARTBEAT_INTERVAL_MS;

export interface FeedOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  readonly address: string;
  readonly fromOffset: number;
  readonly signal: AbortSignal;
  /** Returns false to stop following. */
  readonly onBatch: (batch: FeedBatch) => boolean;
}

/**
 * Follows until `onBatch` returns false, the peer is silent for too long or the
 * signal aborts. Throws 2001 if the stream fails.
 */
export async function followPeer(options: FeedOptions): Promise<void> {
  const { context, transport, address, fromOffset, signal } = options;
  const credentials = clientCredentials(transport, address);
  const client = new ConfigurationFeedClient(
    address,
    credentials,
    channelOptions,
  );
  const stream = client.follow({ clock: context.clock.read(), fromOffset });
  const cancelStream = (): void => {
    stream.cancel();
  };
  let idleTimer = setTimeout(cancelStream, FEED_IDLE_TIMEOUT_MS);
  signal.addEventListener("abort", cancelStream, { once: true });
  try {
    for await (const batch of stream as AsyncIterable<FeedBatch>) {
      clearTimeout(idleTimer);
      context.clock.observe(batch.clock);
      if (!options.onBatch(batch)) return;
      idleTimer = setTimeout(cancelStream, FEED_IDLE_TIMEOUT_MS);
    }
  } catch (error) {
    throw toFailure(error, 2001);
  } finally {
    clearTimeout(idleTimer);
    signal.removeEventListener("abort", cancelStream);
    stream.cancel();
    client.close();
  }
}
