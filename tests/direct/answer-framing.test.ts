import * as assert from "uvu/assert";
import { endMarkOf } from "../../src/direct/answer-framing.js";
import { describe, it } from "../support/describe.js";

describe("what ends an answer", () => {
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
