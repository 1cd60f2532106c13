import * as assert from "uvu/assert";
import { paths } from "../../platform/names.js";
import { StoreClient } from "../../platform/store.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import type { KeyedRecord } from "../../src/platform/keyed-topic.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { followTopic } from "../../src/platform/topic-follower.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { describe, it } from "../support/describe.js";

const TOPIC = "keyed.things";
/** Many times as long as anything here takes, ms. */
const LONGEST_WAIT_MS = 10_000;

class Following implements AsyncDisposable {
  readonly seen = new Map<string, string | undefined>();
  /** The topic as it stands: a snapshot tells what is gone, too. */
  readonly newest = new Map<string, string>();
  snapshots = 0;
  returned = 0;
  lost = 0;
  restored = 0;
  lastFailedAtMs = 0;
  /** The key of a record that fails whoever takes it in. */
  poison: string | undefined;
  private readonly stop = new AbortController();

  private constructor(
    readonly store: KeyedStore,
    private readonly client: StoreClient,
  ) {}

  static async create(
    fill: (store: KeyedStore) => void = () => undefined,
    poison?: string,
  ): Promise<Following> {
    const store = await KeyedStore.create();
    fill(store);
    const following = new Following(store, StoreClient.create(store.address));
    following.poison = poison;
    following.start();
    return following;
  }

  async until(condition: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + LONGEST_WAIT_MS;
    while (!condition()) {
      assert.ok(performance.now() < deadlineMs, "waited in vain");
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.client[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
  }

  private start(): void {
    const take = (records: readonly KeyedRecord[]): void => {
      for (const { key, value } of records) {
        if (key === this.poison) throw new TypeError(`can't take ${key}`);
        this.seen.set(key, value?.toString());
        if (value === undefined) this.newest.delete(key);
        else this.newest.set(key, value.toString());
      }
    };
    void followTopic(
      {
        name: TOPIC,
        topic: this.client.keyedTopic(TOPIC),
        waitMs: 300,
        intervalMs: () => 5,
        random: () => 0.5,
        emit: ignoreEvents,
        findings: RecordFindings.create({
          emit: ignoreEvents,
          measurements: ignoreMeasurements,
        }),
        onSnapshot: (records) => {
          this.snapshots += 1;
          this.newest.clear();
          take(records);
        },
        onChanges: take,
        onReturned: () => {
          this.returned += 1;
        },
        onLost: () => {
          this.lost += 1;
        },
        onRestored: (lastFailedAtMs) => {
          this.restored += 1;
          this.lastFailedAtMs = lastFailedAtMs;
        },
      },
      this.stop.signal,
    );
  }
}

describe("follower of a keyed topic", () => {
  it("sees what is written and what is dropped", async () => {
    await using following = await Following.create();
    following.store.put(TOPIC, "a", 1);
    await following.until(() => following.seen.get("a") === "1");
    following.store.put(TOPIC, "a", 2);
    await following.until(() => following.seen.get("a") === "2");
    following.store.drop(TOPIC, "a");
    await following.until(() => following.seen.get("a") === undefined);
  });

  it("reads everything anew when the history is forgotten", async () => {
    // The store drops its history while a change is made: the follower's
    // offset isn't there any more, and the newest records tell what it missed.
    await using following = await Following.create();
    await following.until(() => following.snapshots === 1);
    following.store.mood = "refusing";
    await following.until(() => following.lost === 1);
    following.store.put(TOPIC, "a", 1);
    following.store.put(TOPIC, "b", 2);
    following.store.forgetHistory(TOPIC);
    following.store.mood = "well";
    await following.until(() => following.seen.get("b") === "2");
    assert.is(following.snapshots, 2);
    assert.is(following.restored, 1);
  });

  it("finds a connection that fell silent", async () => {
    await using following = await Following.create();
    await following.until(() => following.snapshots === 1);
    following.store.mood = "silent";
    await following.until(() => following.lost === 1);
    following.store.mood = "well";
    following.store.put(TOPIC, "a", 1);
    await following.until(() => following.seen.get("a") === "1");
  });

  it("misses nothing that took the offsets of lost records", async () => {
    // The store loses its last records, and others have taken their offsets
    // before the next reading, which succeeds: a removal among them is missed.
    await using following = await Following.create((store) => {
      for (const key of ["a", "b"]) store.put(TOPIC, key, 1);
    });
    await following.until(() => following.seen.get("b") === "1");
    const { store } = following;
    const copy = store.copy();
    for (const key of ["c", "d", "e"]) store.put(TOPIC, key, 1);
    await following.until(() => following.seen.get("e") === "1");
    store.mood = "refusing";
    await following.until(() => following.lost === 1);
    store.returnFrom(copy);
    store.drop(TOPIC, "a");
    for (const key of ["f", "g", "h"]) store.put(TOPIC, key, 2);
    store.mood = "well";
    await following.until(() => following.seen.get("h") === "2");
    assert.is(following.newest.has("a"), false);
    assert.is(following.newest.get("f"), "2");
  });

  it("reads everything anew when the store went back unseen", async () => {
    // No call failed in between, so no outage shows that records were lost.
    await using following = await Following.create((store) => {
      store.put(TOPIC, "a", 1);
    });
    await following.until(() => following.snapshots === 1);
    const copy = following.store.copy();
    following.store.put(TOPIC, "a", 2);
    await following.until(() => following.seen.get("a") === "2");
    following.store.returnFrom(copy);
    following.store.put(TOPIC, "b", 3);
    await following.until(() => following.seen.get("b") === "3");
    assert.equal([following.snapshots, following.returned], [2, 1]);
    assert.is(following.newest.get("a"), "1");
  });

  it("tells a time at which the store was still away", async () => {
    // Whoever counts from the store's return counts from too late if it is the
    // time of the first answer: a call that hangs is given up after a second,
    // and the store may have been back for all of it.
    await using following = await Following.create();
    await following.until(() => following.snapshots === 1);
    following.store.mood = "silent";
    await following.until(() => following.lost === 1);
    const { calls } = following.store;
    const before = calls.get(paths.read);
    await following.until(() => calls.get(paths.read) !== before);
    const backAtMs = performance.now();
    following.store.mood = "well";
    await following.until(() => following.restored === 1);
    assert.ok(following.lastFailedAtMs < backAtMs);
  });

  describe("whose records fail whoever takes them in", () => {
    it("loses only those, and no store", async () => {
      // A fault of ours shows with one record. The page is read already, so
      // what else it says would never be heard of again, and waiting as if the
      // store were away would help nobody.
      await using following = await Following.create();
      await following.until(() => following.snapshots === 1);
      following.poison = "b";
      for (const key of ["a", "b", "c"]) following.store.put(TOPIC, key, 1);
      await following.until(() => following.seen.get("c") === "1");
      assert.is(following.seen.get("a"), "1");
      assert.is(following.lost, 0);
    });

    it("takes in the rest of a first reading", async () => {
      await using following = await Following.create((store) => {
        for (const key of ["a", "b", "c"]) store.put(TOPIC, key, 1);
      }, "b");
      await following.until(() => following.seen.get("c") === "1");
      assert.is(following.seen.get("a"), "1");
      assert.equal([following.lost, following.snapshots], [0, 1]);
    });
  });
});
