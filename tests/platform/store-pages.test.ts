import * as assert from "uvu/assert";
import { createSeatService } from "../../platform/seats.js";
import { StoreClient } from "../../platform/store.js";
import type { KeyedPage } from "../../src/platform/keyed-topic.js";
import { CannedAnswers } from "../support/canned-answers.js";
import { describe, it } from "../support/describe.js";

const TOPIC = "keyed.things";
const HEAD = Buffer.alloc(16);
const signal = new AbortController().signal;

function framed(record: Buffer): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function keyed(key: string, value: string): Buffer {
  return framed(
    Buffer.concat([Buffer.from([key.length]), Buffer.from(key + value)]),
  );
}

function base64(text: string): string {
  return Buffer.from(text).toString("base64");
}

function newestBody(entries: readonly unknown[], hasMore = false): string {
  return JSON.stringify({ entries, has_more: hasMore, end_offset: 7 });
}

async function read(
  bodies: readonly (Buffer | string)[],
  ask: "newest" | "changes",
): Promise<KeyedPage> {
  await using store = await CannedAnswers.create((calls) => ({
    body: bodies[Math.min(calls, bodies.length - 1)],
  }));
  await using client = StoreClient.create(store.address);
  const topic = client.keyedTopic(TOPIC);
  return ask === "newest"
    ? await topic.newest(signal)
    : await topic.changes(3, 0, signal);
}

function contents({ records }: KeyedPage): string[] {
  return records.map(({ key, value }) => `${key}=${value?.toString() ?? "-"}`);
}

async function failureOf(reading: Promise<unknown>): Promise<string> {
  try {
    await reading;
  } catch (error) {
    return error instanceof Error ? error.message : "not an error";
  }
  return "none";
}

describe("pages of the store's keyed topics", () => {
  describe("of changes", () => {
    it("pass over records without a whole key, and count them", async () => {
      // Whoever may append to a topic frames its own records: one without any
      // byte, and one whose key is said to be longer than the record.
      const body = Buffer.concat([
        HEAD,
        keyed("a", "1"),
        framed(Buffer.alloc(0)),
        framed(Buffer.from([9, 0x62])),
        keyed("c", "3"),
      ]);
      const page = await read([body], "changes");
      assert.equal(contents(page), ["a=1", "c=3"]);
      assert.is(page.nextOffset, 7);
      assert.is(page.unreadable.length, 2);
    });

    it("don't take a cut record for a whole one", async () => {
      // The page ends inside its second record. Taken for whole, half of a
      // value would stand for all of it, and the rest would never be read.
      const second = keyed("b", "value");
      for (let kept = 1; kept < second.length; kept += 1) {
        const body = Buffer.concat([
          HEAD,
          keyed("a", "1"),
          second.subarray(0, kept),
        ]);
        const page = await read([body], "changes");
        assert.equal(contents(page), ["a=1"], `${kept} bytes`);
        assert.is(page.nextOffset, 4);
      }
    });

    it("fail when nothing in them can be read", async () => {
      const cut = Buffer.concat([HEAD, keyed("a", "1").subarray(0, 5)]);
      for (const body of [cut, Buffer.from("short")]) {
        assert.match(await failureOf(read([body], "changes")), "1903");
      }
    });

    it("aren't taken from an answer that is none", async () => {
      await using store = await CannedAnswers.create(() => ({
        status: 404,
        body: Buffer.concat([HEAD, keyed("a", "1")]),
      }));
      await using client = StoreClient.create(store.address);
      const reading = client.keyedTopic(TOPIC).changes(0, 0, signal);
      assert.match(await failureOf(reading), "1901");
    });
  });

  describe("of newest records", () => {
    it("lose none of the others by one that can't be read", async () => {
      const page = await read(
        [
          newestBody([
            { key: "a", data: base64("1"), offset: 2 },
            { key: "b", data: 17, offset: 1 },
            { data: base64("nobody's"), offset: 3 },
            null,
            { key: "c", data: "?not base64?", offset: 4 },
            { key: "d", data: base64("4"), offset: "5" },
            { key: "e", data: base64("5"), offset: 6 },
          ]),
        ],
        "newest",
      );
      // What has a key and no bytes is there, and isn't taken for a removal.
      assert.equal(contents(page), ["d=4", "b=", "a=1", "c=", "e=5"]);
      assert.is(page.unreadable.length, 2);
    });

    it("go on behind a page whose last entry can't be read", async () => {
      // The next page is asked for by the last key. A page that ends without
      // one looked like the last; every key behind it was taken for removed.
      const first = [{ key: "a", data: base64("1"), offset: 1 }, { offset: 9 }];
      const second = [{ key: "b", data: base64("2"), offset: 2 }];
      const page = await read(
        [newestBody(first, true), newestBody(second)],
        "newest",
      );
      assert.equal(contents(page), ["a=1", "b=2"]);
    });

    it("fail where the next page can't be asked for", async () => {
      const reading = read([newestBody([null], true)], "newest");
      assert.match(await failureOf(reading), "1903");
    });

    it("fail when the answer itself can't be read", async () => {
      for (const body of ["", "{", "[]", '{"entries":{}}']) {
        assert.match(await failureOf(read([body], "newest")), "1903");
      }
    });
  });
});

describe("seats at the store", () => {
  async function join(body: string): Promise<boolean> {
    await using store = await CannedAnswers.create(() => ({ body }));
    await using client = StoreClient.create(store.address);
    const seats = createSeatService(client);
    return (await seats.join("group", "member", 0, 1000)).isHolder;
  }

  it("are told by the row that names them, whatever stands beside", async () => {
    const odd = [null, ["seats"], ["other", 0, 1], ["seats", "0", 1], {}];
    const without = JSON.stringify({ generation: 3, parts: odd });
    assert.not.ok(await join(without));
    const rows = [...odd, ["seats", 0, 0]];
    assert.ok(await join(JSON.stringify({ generation: 3, parts: rows })));
  });

  it("aren't taken from an answer that can't be read", async () => {
    for (const body of ["", "{", '{"generation":"3","parts":[]}']) {
      assert.match(await failureOf(join(body)), "1903");
    }
  });
});
