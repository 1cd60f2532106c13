import { buildConnector } from "undici";
import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import { StoreClient } from "../../platform/store.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { describe, it } from "../support/describe.js";
import { outcomeWithin } from "../support/outcome.js";

/** A time by which a call has to have ended, ms. */
const SOON_MS = 2000;

describe("client of the platform's store", () => {
  it("gives a call up in time while a connection doesn't come about, and tries anew", async () => {
    // Callers are served by an old configuration for seconds after the store is
    // back: behind a cut the opening packet of a connection is lost and sent
    // again after one, two and four seconds. A call that waits for it couldn't
    // be aborted, and the next call, which a new connection would have served at
    // once, wasn't made before.
    await using store = await KeyedStore.create();
    store.put(topics.operator, "key", {});
    const connector = buildConnector({});
    let isCut = true;
    await using client = StoreClient.create(
      store.address,
      (options, callback) => {
        if (!isCut) connector(options, callback);
      },
    );
    const topic = client.keyedTopic(topics.operator);
    const { signal } = new AbortController();
    assert.is(await outcomeWithin(topic.newest(signal), SOON_MS), "failed");
    isCut = false;
    assert.is((await topic.newest(signal)).records.length, 1);
  });

  describe("of a store that came back from a copy", () => {
    it("takes no answer of before once it has seen a later one", async () => {
      // A connection on which an answer was on its way goes on for a moment.
      // What it tells was lost, and would be taken for what holds now.
      await using store = await KeyedStore.create();
      store.put(topics.operator, "key", 1);
      await using client = StoreClient.create(store.address);
      const topic = client.keyedTopic(topics.operator);
      const { signal } = new AbortController();
      store.era = 3;
      assert.is((await topic.newest(signal)).era, 3);
      store.era = 2;
      assert.is(await outcomeWithin(topic.newest(signal), SOON_MS), "failed");
      assert.is(
        await outcomeWithin(topic.changes(0, 0, signal), SOON_MS),
        "failed",
      );
      assert.is(client.era.current, 3);
    });

    it("hears of it by a refusal, too", async () => {
      // All answers tell, and a planner had better stop sooner than later.
      await using store = await KeyedStore.create();
      await using client = StoreClient.create(store.address);
      const topic = client.keyedTopic(topics.operator);
      const { signal } = new AbortController();
      store.era = 4;
      store.mood = "refusing";
      assert.is(await outcomeWithin(topic.newest(signal), SOON_MS), "failed");
      assert.is(client.era.current, 4);
    });
  });
});
