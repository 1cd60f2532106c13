import * as assert from "uvu/assert";
import { paths } from "../../platform/names.js";
import { StoreClient } from "../../platform/store.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import type { KeyedRecord } from "../../src/platform/keyed-topic.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { followTopic } from "../../src/platform/topic-follower.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";

const TOPIC = "keyed.things";
/** Many times as long as any step takes, ms. */
const MAXIMUM_WAIT_MS = 10_000;

/** By this time after a failed call the next one has begun, ms. */
const NEXT_CALL_MS = 600;
/** Timeout of a call, the longest pause before the next one, and slack, ms. */
const MAXIMUM_RETURN_MS = 2200;

class TopicObserver implements AsyncDisposable {
  readonly received = new Map<string, string | undefined>();
  /**
   * Current records of the topic; a snapshot replaces them all, which shows
   * removals, too.
   */
  readonly newest = new Map<string, string>();
  snapshotCount = 0;
  rollbackCount = 0;
  outageCount = 0;
  recoveryCount = 0;
  lastFailedAtMs = 0;
  /** Key of a record for which the handlers throw. */
  failingKey: string | undefined;
  private readonly stop = new AbortController();

  private constructor(
    readonly store: KeyedStore,
    private readonly client: StoreClient,
  ) {}

  static async create(
    prepareStore: (store: KeyedStore) => void = () => undefined,
    failingKey?: string,
    waitMs = 300,
  ): Promise<TopicObserver> {
    const store = await KeyedStore.create();
    prepareStore(store);
    const observer = new TopicObserver(
      store,
      StoreClient.create(store.address),
    );
    observer.failingKey = failingKey;
    observer.start(waitMs);
    return observer;
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + MAXIMUM_WAIT_MS;
    while (!condition()) {
      assert.ok(performance.now() < deadlineMs, "condition not met in time");
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

  private start(waitMs: number): void {
    const applyRecords = (records: readonly KeyedRecord[]): void => {
      for (const { key, value } of records) {
        if (key === this.failingKey)
          throw new TypeError(`handler failed for key ${key}`);
        this.received.set(key, value?.toString());
        if (value === undefined) this.newest.delete(key);
        else this.newest.set(key, value.toString());
      }
    };
    void followTopic(
      {
        name: TOPIC,
        topic: this.client.keyedTopic(TOPIC),
        waitMs,
        intervalMs: () => 5,
        random: () => 0.5,
        emit: ignoreEvents,
        findings: RecordFindings.create({
          emit: ignoreEvents,
          measurements: ignoreMeasurements,
        }),
        onSnapshot: (records) => {
          this.snapshotCount += 1;
          this.newest.clear();
          applyRecords(records);
        },
        onChanges: applyRecords,
        onReturned: () => {
          this.rollbackCount += 1;
        },
        onLost: () => {
          this.outageCount += 1;
        },
        onRestored: (lastFailedAtMs) => {
          this.recoveryCount += 1;
          this.lastFailedAtMs = lastFailedAtMs;
        },
      },
      this.stop.signal,
    );
  }
}

describe("follower of a keyed topic", () => {
  // Guards against a removed record that stays in use after an outage: a long
  // poll that begins before the store is back gets no response, and is given up
  // only after its waiting time.
  it("follows a store that was silent within the timeout of a call", async () => {
    const noFault = undefined;
    await using observer = await TopicObserver.create(noFault, noFault, 3000);
    const { store } = observer;
    await observer.waitUntil(() => observer.snapshotCount === 1);
    store.availability = "silent";
    await observer.waitUntil(() => observer.outageCount === 1);
    await pause(NEXT_CALL_MS);
    store.availability = "well";
    store.put(TOPIC, "a", 1);
    const returnedAtMs = performance.now();
    await observer.waitUntil(() => observer.received.get("a") === "1");
    assert.ok(performance.now() - returnedAtMs < MAXIMUM_RETURN_MS);
  });

  it("receives writes and removals", async () => {
    await using observer = await TopicObserver.create();
    observer.store.put(TOPIC, "a", 1);
    await observer.waitUntil(() => observer.received.get("a") === "1");
    observer.store.put(TOPIC, "a", 2);
    await observer.waitUntil(() => observer.received.get("a") === "2");
    observer.store.appendTombstone(TOPIC, "a");
    await observer.waitUntil(() => observer.received.get("a") === undefined);
  });

  it("reads a snapshot when the history was discarded", async () => {
    // The store discards its history while a record changes. The follower's
    // offset no longer exists, and a snapshot of the newest records shows what
    // it missed.
    await using observer = await TopicObserver.create();
    await observer.waitUntil(() => observer.snapshotCount === 1);
    observer.store.availability = "refusing";
    await observer.waitUntil(() => observer.outageCount === 1);
    observer.store.put(TOPIC, "a", 1);
    observer.store.put(TOPIC, "b", 2);
    observer.store.trimHistory(TOPIC);
    observer.store.availability = "well";
    await observer.waitUntil(() => observer.received.get("b") === "2");
    assert.is(observer.snapshotCount, 2);
    assert.is(observer.recoveryCount, 1);
  });

  it("detects a silent connection", async () => {
    await using observer = await TopicObserver.create();
    await observer.waitUntil(() => observer.snapshotCount === 1);
    observer.store.availability = "silent";
    await observer.waitUntil(() => observer.outageCount === 1);
    observer.store.availability = "well";
    observer.store.put(TOPIC, "a", 1);
    await observer.waitUntil(() => observer.received.get("a") === "1");
  });

  it("misses no records that took the offsets of lost ones", async () => {
    // The store loses its last records, and other records take their offsets
    // before the next read, which succeeds and would miss a removal among them.
    await using observer = await TopicObserver.create((store) => {
      for (const key of ["a", "b"]) store.put(TOPIC, key, 1);
    });
    await observer.waitUntil(() => observer.received.get("b") === "1");
    const { store } = observer;
    const copy = store.takeSnapshot();
    for (const key of ["c", "d", "e"]) store.put(TOPIC, key, 1);
    await observer.waitUntil(() => observer.received.get("e") === "1");
    store.availability = "refusing";
    await observer.waitUntil(() => observer.outageCount === 1);
    store.restoreSnapshot(copy);
    store.appendTombstone(TOPIC, "a");
    for (const key of ["f", "g", "h"]) store.put(TOPIC, key, 2);
    store.availability = "well";
    await observer.waitUntil(() => observer.received.get("h") === "2");
    assert.is(observer.newest.has("a"), false);
    assert.is(observer.newest.get("f"), "2");
  });

  it("reads a snapshot when the store was rolled back without an outage", async () => {
    // No call fails in between, so no outage shows that records were lost.
    await using observer = await TopicObserver.create((store) => {
      store.put(TOPIC, "a", 1);
    });
    await observer.waitUntil(() => observer.snapshotCount === 1);
    const copy = observer.store.takeSnapshot();
    observer.store.put(TOPIC, "a", 2);
    await observer.waitUntil(() => observer.received.get("a") === "2");
    observer.store.restoreSnapshot(copy);
    observer.store.put(TOPIC, "b", 3);
    await observer.waitUntil(() => observer.received.get("b") === "3");
    assert.equal([observer.snapshotCount, observer.rollbackCount], [2, 1]);
    assert.is(observer.newest.get("a"), "1");
  });

  it("reports a time at which the store was still unavailable", async () => {
    // A call to a silent store times out only after a second, so the store may
    // have been reachable long before the first successful call. Grace periods
    // that start at the store's return need a time at which it was certainly
    // still unavailable.
    await using observer = await TopicObserver.create();
    await observer.waitUntil(() => observer.snapshotCount === 1);
    observer.store.availability = "silent";
    await observer.waitUntil(() => observer.outageCount === 1);
    const { calls } = observer.store;
    const before = calls.get(paths.read);
    await observer.waitUntil(() => calls.get(paths.read) !== before);
    const backAtMs = performance.now();
    observer.store.availability = "well";
    await observer.waitUntil(() => observer.recoveryCount === 1);
    assert.ok(observer.lastFailedAtMs < backAtMs);
  });

  describe("when a handler throws for a record", () => {
    it("loses only that record and reports no outage", async () => {
      // One record triggers a bug in a handler. The page has been read already,
      // so its other records would be lost for good, and treating it as an
      // outage of the store wouldn't help.
      await using observer = await TopicObserver.create();
      await observer.waitUntil(() => observer.snapshotCount === 1);
      observer.failingKey = "b";
      for (const key of ["a", "b", "c"]) observer.store.put(TOPIC, key, 1);
      await observer.waitUntil(() => observer.received.get("c") === "1");
      assert.is(observer.received.get("a"), "1");
      assert.is(observer.outageCount, 0);
    });

    it("applies the other records of the first snapshot", async () => {
      await using observer = await TopicObserver.create((store) => {
        for (const key of ["a", "b", "c"]) store.put(TOPIC, key, 1);
      }, "b");
      await observer.waitUntil(() => observer.received.get("c") === "1");
      assert.is(observer.received.get("a"), "1");
      assert.equal([observer.outageCount, observer.snapshotCount], [0, 1]);
    });
  });
});
