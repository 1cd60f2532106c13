import * as assert from "uvu/assert";
import { StreamBuffer } from "../../src/direct/stream-buffer.js";
import { describe, it } from "../support/describe.js";

function recordingBuffer(): {
  readonly buffer: StreamBuffer;
  readonly seen: string[];
} {
  const seen: string[] = [];
  const buffer = StreamBuffer.create({
    onData: (chunk) => seen.push(chunk.toString()),
    onEnd: () => seen.push("end"),
  });
  return { buffer, seen };
}

describe("stream buffer", () => {
  it("forwards chunks at once while it isn't paused", () => {
    const { buffer, seen } = recordingBuffer();
    buffer.push(Buffer.from("a"));
    buffer.end();
    assert.equal(seen, ["a", "end"]);
    assert.is(buffer.bufferedBytes, 0);
  });

  it("keeps chunks and the end in order until it is resumed", () => {
    const { buffer, seen } = recordingBuffer();
    buffer.pause();
    buffer.push(Buffer.from("ab"));
    buffer.push(Buffer.from("c"));
    buffer.end();
    assert.equal(seen, []);
    assert.is(buffer.bufferedBytes, 3);
    buffer.resume();
    assert.equal(seen, ["ab", "c", "end"]);
    buffer.resume();
    assert.equal(seen, ["ab", "c", "end"]);
  });

  it("stops when it is paused again", () => {
    const seen: string[] = [];
    const buffer = StreamBuffer.create({
      onData: (chunk) => {
        seen.push(chunk.toString());
        buffer.pause();
      },
      onEnd: () => seen.push("end"),
    });
    buffer.push(Buffer.from("a"));
    buffer.push(Buffer.from("b"));
    buffer.end();
    assert.equal(seen, ["a"]);
    buffer.resume();
    assert.equal(seen, ["a", "b"]);
    buffer.resume();
    assert.equal(seen, ["a", "b", "end"]);
  });
});
