import * as assert from "uvu/assert";
import {
  endMarkOf,
  isEndMarked,
  type FramingHeaders,
} from "../../src/shared/answer-end.js";
import { describe, it } from "../support/describe.js";

const withCoding = (coding: string | string[]): FramingHeaders => ({
  "transfer-encoding": coding,
});

describe("framing of an answer", () => {
  it("is present with a length, or with chunked as the last coding", () => {
    assert.ok(isEndMarked(200, { "content-length": "0" }));
    assert.ok(isEndMarked(200, withCoding("chunked")));
    assert.ok(isEndMarked(200, withCoding("gzip, Chunked")));
    assert.ok(isEndMarked(200, withCoding(["gzip", "chunked"])));
  });

  it("is present if there is no body", () => {
    for (const status of [101, 204, 304]) assert.ok(isEndMarked(status, {}));
    assert.ok(isEndMarked(200, {}, "HEAD"));
  });

  // An answer with another transfer coding ends with its connection, and a
  // length beside the coding doesn't count. Taken as framed, a truncated answer
  // would pass for a complete one.
  it("is absent with another coding, also if there is a length", () => {
    assert.not.ok(isEndMarked(200, {}));
    assert.not.ok(isEndMarked(500, {}, "GET"));
    assert.not.ok(isEndMarked(200, withCoding("gzip")));
    assert.not.ok(isEndMarked(200, withCoding("chunked, gzip")));
    const both = { ...withCoding("gzip"), "content-length": "7" };
    assert.not.ok(isEndMarked(200, both));
  });

  describe("the kind of end", () => {
    it("is the head if no body follows", () => {
      assert.is(endMarkOf(204, {}), "head");
      assert.is(endMarkOf(304, { "content-length": "7" }), "head");
    });

    it("is the length", () => {
      assert.is(endMarkOf(200, { "content-length": "0" }), "length");
    });

    it("is the last chunk only if chunked is the last coding", () => {
      const markOf = (codings: string): string =>
        endMarkOf(200, { "transfer-encoding": codings, "content-length": "7" });
      assert.is(markOf("chunked"), "chunks");
      assert.is(markOf("gzip, Chunked "), "chunks");
      assert.is(markOf("chunked\t"), "connection");
      assert.is(markOf("identity"), "connection");
      assert.is(markOf("chunked, gzip"), "connection");
      assert.is(markOf("notchunked"), "connection");
      assert.is(markOf(""), "connection");
    });

    it("is the end of the connection otherwise", () => {
      assert.is(endMarkOf(200, {}), "connection");
      assert.is(endMarkOf(500, {}), "connection");
    });
  });
});
