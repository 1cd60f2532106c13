import * as assert from "uvu/assert";
import { failure, ignoreEvents, raise } from "../../src/internal.js";
import type { KeyedRecord } from "../../src/platform/keyed-topic.js";
import {
  DemandNotes,
  decodeDemand,
  encodeDemand,
} from "../../src/rankmaps/demand-notes.js";
import { describe, it } from "../support/describe.js";

const GROUP = "drafting.g";
const { signal } = new AbortController();

/** A store with one keyed topic, which may be away. */
class Store {
  readonly records: KeyedRecord[] = [];
  isAway = false;
  nowMs = 0;

  readonly notes = DemandNotes.create({
    topic: {
      newest: () => {
        if (this.isAway) return Promise.reject(failure(1901));
        const { records } = this;
        return Promise.resolve({ records, unreadable: [], nextOffset: 0 });
      },
      changes: () => Promise.reject(failure(1901)),
    },
    writer: {
      put: (key, value) => {
        if (this.isAway) return Promise.reject(failure(1901));
        this.records.push({ key, value });
        return Promise.resolve();
      },
    },
    now: () => this.nowMs,
    emit: ignoreEvents,
  });
}

function readError(value: string): unknown {
  try {
    return decodeDemand({ key: GROUP, value: Buffer.from(value) });
  } catch (error) {
    return error;
  }
}

describe("notes of a group's demand", () => {
  it("give the shares back within one in 255", () => {
    const tokens = [0, 1000, 250, 500];
    const value = encodeDemand(tokens);
    const shares = decodeDemand({ key: GROUP, value }) ?? raise(1903);
    const [, most] = shares;
    shares.forEach((share, index) => {
      assert.ok(Math.abs(share / most - tokens[index] / 1000) < 1 / 255);
    });
  });

  it("are written once in two seconds", async () => {
    const store = new Store();
    for (; store.nowMs < 6000; store.nowMs += 250) {
      store.notes.note(GROUP, [1, 2]);
      await Promise.resolve();
    }
    assert.is(store.records.length, 3);
  });

  it("are those of the own group, the newest", async () => {
    const store = new Store();
    store.records.push({ key: GROUP, value: encodeDemand([1, 0]) });
    store.records.push({ key: GROUP, value: encodeDemand([0, 1]) });
    store.records.push({ key: "other", value: encodeDemand([1, 1]) });
    assert.equal(await store.notes.read(GROUP, signal), [0, 255]);
  });

  it("are none while the store is away, or before the first", async () => {
    const store = new Store();
    assert.is(await store.notes.read(GROUP, signal), undefined);
    store.isAway = true;
    store.notes.note(GROUP, [1, 2]);
    assert.is(await store.notes.read(GROUP, signal), undefined);
  });

  it("are none where somebody else has written the record", async () => {
    const store = new Store();
    store.records.push({ key: GROUP, value: Buffer.from("{}") });
    assert.is(await store.notes.read(GROUP, signal), undefined);
    assert.instance(readError('{"shares":"AAAA"}'), Error);
    assert.instance(readError('{"shares":[1,2]}'), Error);
  });
});
