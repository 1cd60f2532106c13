import * as assert from "uvu/assert";
import {
  endMarkOf,
  isEndMarked,
  type FramingHeaders,
} from "../../src/shared/answer-end.js";
import { describe, it } from "../support/describe.js";

const CODED = (coding: string | string[]): FramingHeaders => ({
  "transfer-encoding": coding,
});

describe("the end of an answer", () => {
  it("is marked by a length, and by chunks as the last coding", () => {
    assert.ok(isEndMarked(200, { "content-length": "0" }));
    assert.ok(isEndMarked(200, CODED("chunked")));
    assert.ok(isEndMarked(200, CODED("gzip, Chunked")));
    assert.ok(isEndMarked(200, CODED(["gzip", "chunked"])));
  });

  it("is marked where there is no body", () => {
    for (const status of [101, 204, 304]) assert.ok(isEndMarked(status, {}));
    assert.ok(isEndMarked(200, {}, "HEAD"));
  });

  // A caller would take half of the answer for all of it: an answer that is
  // coded but not in chunks ends with its connection, and a length beside the
  // coding says nothing about it.
  it("isn't marked by another coding, nor by a length beside one", () => {
    assert.not.ok(isEndMarked(200, {}));
    assert.not.ok(isEndMarked(500, {}, "GET"));
    assert.not.ok(isEndMarked(200, CODED("gzip")));
    assert.not.ok(isEndMarked(200, CODED("chunked, gzip")));
    const both = { ...CODED("gzip"), "content-length": "7" };
    assert.not.ok(isEndMarked(200, both));
  });

  describe("what ends it", () => {
    it("is its head where no body follows", () => {
      assert.is(endMarkOf(204, {}), "head");
      assert.is(endMarkOf(304, { "content-length": "7" }), "head");
    });

    it("is its length", () => {
      assert.is(endMarkOf(200, { "content-length": "0" }), "length");
    });

    it("is the last chunk only where chunks are the last coding", () => {
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

    it("is the end of its connection otherwise", () => {
      assert.is(endMarkOf(200, {}), "connection");
      assert.is(endMarkOf(500, {}), "connection");
    });
  });
});
