import { buildConnector } from "undici";
import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import { StoreClient } from "../../platform/store.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { describe, it } from "../support/describe.js";
import { outcomeWithin } from "../support/outcome.js";

/** Limit for the end of a call, ms. */
const OUTCOME_LIMIT_MS = 2000;

describe("client of the platform's store", () => {
  it("times out while no connection can be established, and reconnects afterwards", async () => {
    // Behind a network partition, the SYN packet of a connection is lost and
    // retransmitted after one, two and four seconds. If a call that waits for
    // it can't be aborted, the next call, which a new connection could serve at
    // once, isn't made either, and callers are served by an old configuration
    // for seconds after the store is reachable again.
    await using store = await KeyedStore.create();
    store.put(topics.operator, "key", {});
    const connector = buildConnector({});
    let isPartitioned = true;
    await using client = StoreClient.create(
      store.address,
      (options, callback) => {
        if (!isPartitioned) connector(options, callback);
      },
    );
    const topic = client.keyedTopic(topics.operator);
    const { signal } = new AbortController();
    assert.is(
      await outcomeWithin(topic.newest(signal), OUTCOME_LIMIT_MS),
      "failed",
    );
    isPartitioned = false;
    assert.is((await topic.newest(signal)).records.length, 1);
  });

  describe("of a store that was restored from a copy", () => {
    it("rejects responses of an earlier era", async () => {
      // A response of the earlier era may still be in flight on an old
      // connection. It describes records that the store has lost and must not
      // be taken for the current state.
      await using store = await KeyedStore.create();
      store.put(topics.operator, "key", 1);
      await using client = StoreClient.create(store.address);
      const topic = client.keyedTopic(topics.operator);
      const { signal } = new AbortController();
      store.era = 3;
      assert.is((await topic.newest(signal)).era, 3);
      store.era = 2;
      assert.is(
        await outcomeWithin(topic.newest(signal), OUTCOME_LIMIT_MS),
        "failed",
      );
      assert.is(
        await outcomeWithin(topic.changes(0, 0, signal), OUTCOME_LIMIT_MS),
        "failed",
      );
      assert.is(client.era.current, 3);
    });

    it("learns the new era from a refusal, too", async () => {
      // Every response carries the era, refusals included, so that for example
      // a planner can stop as early as possible.
      await using store = await KeyedStore.create();
      await using client = StoreClient.create(store.address);
      const topic = client.keyedTopic(topics.operator);
      const { signal } = new AbortController();
      store.era = 4;
      store.availability = "refusing";
      assert.is(
        await outcomeWithin(topic.newest(signal), OUTCOME_LIMIT_MS),
        "failed",
      );
      assert.is(client.era.current, 4);
    });
  });
});
