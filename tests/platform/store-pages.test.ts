import * as assert from "uvu/assert";
import { createLeaseService } from "../../platform/lease-service.js";
import { StoreClient } from "../../platform/store.js";
import type { KeyedPage } from "../../src/platform/keyed-topic.js";
import { CannedResponseServer } from "../support/canned-response-server.js";
import { describe, it } from "../support/describe.js";

const TOPIC = "keyed.things";
const PAGE_HEADER = Buffer.alloc(16);
const signal = new AbortController().signal;

function frameRecord(record: Buffer): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function frameKeyedRecord(key: string, value: string): Buffer {
  return frameRecord(
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
  request: "newest" | "changes",
): Promise<KeyedPage> {
  await using store = await CannedResponseServer.create((requestCount) => ({
    body: bodies[Math.min(requestCount, bodies.length - 1)],
  }));
  await using client = StoreClient.create(store.address);
  const topic = client.keyedTopic(TOPIC);
  return request === "newest"
    ? await topic.newest(signal)
    : await topic.changes(3, 0, signal);
}

function describeRecords({ records }: KeyedPage): string[] {
  return records.map(({ key, value }) => `${key}=${value?.toString() ?? "-"}`);
}

async function errorMessageOf(operation: Promise<unknown>): Promise<string> {
  try {
    await operation;
  } catch (error) {
    return error instanceof Error ? error.message : "not an error";
  }
  return "none";
}

describe("pages of the store's keyed topics", () => {
  describe("of changes", () => {
    it("skip records without a complete key and count them", async () => {
      // Every writer frames its own records: here one record is empty, and the
      // key length of another exceeds the record.
      const body = Buffer.concat([
        PAGE_HEADER,
        frameKeyedRecord("a", "1"),
        frameRecord(Buffer.alloc(0)),
        frameRecord(Buffer.from([9, 0x62])),
        frameKeyedRecord("c", "3"),
      ]);
      const page = await read([body], "changes");
      assert.equal(describeRecords(page), ["a=1", "c=3"]);
      assert.is(page.nextOffset, 7);
      assert.is(page.unreadable.length, 2);
    });

    it("don't take a truncated record for a complete one", async () => {
      // The page ends inside its second record. Taken for complete, part of a
      // value would be used as all of it, and the rest would never be read.
      const second = frameKeyedRecord("b", "value");
      for (let kept = 1; kept < second.length; kept += 1) {
        const body = Buffer.concat([
          PAGE_HEADER,
          frameKeyedRecord("a", "1"),
          second.subarray(0, kept),
        ]);
        const page = await read([body], "changes");
        assert.equal(describeRecords(page), ["a=1"], `${kept} bytes`);
        assert.is(page.nextOffset, 4);
      }
    });

    it("fail when they contain no readable record", async () => {
      const cut = Buffer.concat([
        PAGE_HEADER,
        frameKeyedRecord("a", "1").subarray(0, 5),
      ]);
      for (const body of [cut, Buffer.from("short")]) {
        assert.match(await errorMessageOf(read([body], "changes")), "1903");
      }
    });

    it("are rejected when the status is an error", async () => {
      await using store = await CannedResponseServer.create(() => ({
        status: 404,
        body: Buffer.concat([PAGE_HEADER, frameKeyedRecord("a", "1")]),
      }));
      await using client = StoreClient.create(store.address);
      const operation = client.keyedTopic(TOPIC).changes(0, 0, signal);
      assert.match(await errorMessageOf(operation), "1901");
    });
  });

  describe("of newest records", () => {
    it("keep all other records when one is unreadable", async () => {
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
      // A record with a key but without a readable value exists; it must not
      // count as a removal.
      assert.equal(describeRecords(page), ["d=4", "b=", "a=1", "c=", "e=5"]);
      assert.is(page.unreadable.length, 2);
    });

    it("continue after a page whose last entry is unreadable", async () => {
      // The next page is requested by the last key. If a page whose last entry
      // has no key were taken for the final one, all later keys would count as
      // removed.
      const first = [{ key: "a", data: base64("1"), offset: 1 }, { offset: 9 }];
      const second = [{ key: "b", data: base64("2"), offset: 2 }];
      const page = await read(
        [newestBody(first, true), newestBody(second)],
        "newest",
      );
      assert.equal(describeRecords(page), ["a=1", "b=2"]);
    });

    it("fail when the next page can't be requested", async () => {
      const operation = read([newestBody([null], true)], "newest");
      assert.match(await errorMessageOf(operation), "1903");
    });

    it("fail when the response is unreadable", async () => {
      for (const body of ["", "{", "[]", '{"entries":{}}']) {
        assert.match(await errorMessageOf(read([body], "newest")), "1903");
      }
    });
  });
});

describe("leases at the store", () => {
  async function join(body: string): Promise<boolean> {
    await using store = await CannedResponseServer.create(() => ({ body }));
    await using client = StoreClient.create(store.address);
    const leaseService = createLeaseService(client);
    return (await leaseService.join("group", "member", 0, 1000)).isHolder;
  }

  it("are read from the row that names them, despite malformed rows", async () => {
    const malformedRows = [
      null,
      ["seats"],
      ["other", 0, 1],
      ["seats", "0", 1],
      {},
    ];
    const withoutLease = JSON.stringify({
      generation: 3,
      parts: malformedRows,
    });
    assert.not.ok(await join(withoutLease));
    const rows = [...malformedRows, ["seats", 0, 0]];
    assert.ok(await join(JSON.stringify({ generation: 3, parts: rows })));
  });

  it("aren't taken from an unreadable response", async () => {
    for (const body of ["", "{", '{"generation":"3","parts":[]}']) {
      assert.match(await errorMessageOf(join(body)), "1903");
    }
  });
});
