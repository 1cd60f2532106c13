import * as assert from "uvu/assert";
import { HeldStream } from "../../src/direct/held-stream.js";
import { describe, it } from "../support/describe.js";

function recorded(): { readonly held: HeldStream; readonly seen: string[] } {
  const seen: string[] = [];
  const held = HeldStream.create({
    onData: (chunk) => seen.push(chunk.toString()),
    onEnd: () => seen.push("end"),
  });
  return { held, seen };
}

describe("a stream that is held for its caller", () => {
  it("passes on at once while nothing is paused", () => {
    const { held, seen } = recorded();
    held.push(Buffer.from("a"));
    held.end();
    assert.equal(seen, ["a", "end"]);
    assert.is(held.bytes, 0);
  });

  it("keeps chunks and the end in order until it is resumed", () => {
    const { held, seen } = recorded();
    held.pause();
    held.push(Buffer.from("ab"));
    held.push(Buffer.from("c"));
    held.end();
    assert.equal(seen, []);
    assert.is(held.bytes, 3);
    held.resume();
    assert.equal(seen, ["ab", "c", "end"]);
    held.resume();
    assert.equal(seen, ["ab", "c", "end"]);
  });

  it("stops again where the caller falls behind once more", () => {
    const seen: string[] = [];
    const held = HeldStream.create({
      onData: (chunk) => {
        seen.push(chunk.toString());
        held.pause();
      },
      onEnd: () => seen.push("end"),
    });
    held.push(Buffer.from("a"));
    held.push(Buffer.from("b"));
    held.end();
    assert.equal(seen, ["a"]);
    held.resume();
    assert.equal(seen, ["a", "b"]);
    held.resume();
    assert.equal(seen, ["a", "b", "end"]);
  });
});
