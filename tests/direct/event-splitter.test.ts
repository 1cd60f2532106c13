import * as assert from "uvu/assert";
import { EventSplitter } from "../../src/direct/event-splitter.js";
import { createRandom } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

describe("event splitter", () => {
  it("preserves every byte however the chunks are split", () => {
    const events = [
      "id: 1\ndata: a\n\n",
      ": comment\r\n\r\n",
      "id:2\r\ndata: b\r\ndata: c\r\n\r\n",
      "data: id: 9\nid: 3\n\n",
    ];
    const whole = Buffer.from(events.join(""));
    const random = createRandom(3);
    for (let round = 0; round < 200; round += 1) {
      const splitter = EventSplitter.create();
      const seen: string[] = [];
      const ids: (number | undefined)[] = [];
      let offset = 0;
      while (offset < whole.length) {
        const end = offset + 1 + Math.floor(random() * 9);
        for (const event of splitter.push(whole.subarray(offset, end))) {
          seen.push(event.bytes.toString());
          ids.push(event.id);
        }
        offset = end;
      }
      assert.equal(seen, events);
      assert.equal(ids, [1, undefined, 2, 3]);
      assert.not.ok(splitter.hasPartialEvent);
    }
  });

  it("holds back an incomplete event", () => {
    // A runner crashes in the middle of an event. If the partial event were
    // forwarded, the caller would receive it joined with the same event from
    // the next runner.
    const splitter = EventSplitter.create();
    const events = splitter.push(Buffer.from("id: 1\n\nid: 2\ndata: ha"));
    assert.is(events.length, 1);
    assert.ok(splitter.hasPartialEvent);
  });
});
