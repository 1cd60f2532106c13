import * as assert from "uvu/assert";
import { ignoreEvents } from "../../src/internal.js";
import {
  NOTE_LASTS_MS,
  SlowRunners,
  decodePaceNote,
  encodePaceNote,
} from "../../src/membership/slow-runners.js";
import type { LifeStart } from "../../src/membership/life.js";
import { describe, it } from "../support/describe.js";

const ADDRESS = "10.0.0.1:1";

function noted(slowness: number): {
  runners: SlowRunners;
  at: (ms: number) => void;
} {
  let nowMs = 0;
  const runners = SlowRunners.create(() => nowMs, ignoreEvents);
  runners.take({ address: ADDRESS, slowness, startedAtMs: undefined });
  const at = (ms: number): void => {
    nowMs = ms;
  };
  return { runners, at };
}

describe("slow runners", () => {
  it("are known by their notes", () => {
    const { runners } = noted(5);
    assert.ok(runners.isSlow(ADDRESS, undefined));
    assert.not.ok(runners.isSlow("10.0.0.2:1", undefined));
    runners.take({ address: ADDRESS, slowness: 1, startedAtMs: undefined });
    assert.not.ok(runners.isSlow(ADDRESS, undefined));
  });

  it("count as sound again when nobody renews the note", () => {
    // The planner that wrote it is gone, and with it whoever would say that the
    // rank has recovered. Left out for good, the group would lack a rank's room.
    const { runners, at } = noted(5);
    at(NOTE_LASTS_MS - 1);
    assert.ok(runners.isSlow(ADDRESS, undefined));
    at(NOTE_LASTS_MS);
    assert.not.ok(runners.isSlow(ADDRESS, undefined));
  });

  it("pass through the store unchanged", () => {
    const note = { address: ADDRESS, slowness: 4.5, startedAtMs: undefined };
    const record = { key: ADDRESS, value: encodePaceNote(note) };
    assert.equal(decodePaceNote(record), note);
    assert.is(decodePaceNote({ key: ADDRESS, value: undefined }), undefined);
  });

  describe("that have started again", () => {
    const FIRST = 1_790_000_000_000;
    const SECOND = FIRST + 5000;

    function take(
      runners: SlowRunners,
      slowness: number,
      startedAtMs: LifeStart,
    ): void {
      runners.take({ address: ADDRESS, slowness, startedAtMs });
    }

    it("aren't slow by a note of the earlier life", () => {
      // A rank was slow because its VM was; it has started again and is sound.
      // The note counts for seconds more, and nothing would be sent there.
      const { runners } = noted(1);
      take(runners, 5, FIRST);
      assert.ok(runners.isSlow(ADDRESS, FIRST));
      assert.not.ok(runners.isSlow(ADDRESS, SECOND));
    });

    it("aren't changed by a late note of the earlier life", () => {
      const { runners } = noted(1);
      take(runners, 5, SECOND);
      take(runners, 1, FIRST);
      assert.ok(runners.isSlow(ADDRESS, SECOND));
      take(runners, 1, SECOND);
      take(runners, 5, FIRST);
      assert.not.ok(runners.isSlow(ADDRESS, SECOND));
    });

    it("lose a note that doesn't tell lives apart with the earlier life", () => {
      const { runners } = noted(5);
      const server = { address: ADDRESS, startedAtMs: FIRST };
      assert.ok(runners.isSlow(ADDRESS, FIRST));
      runners.forget(server);
      assert.not.ok(runners.isSlow(ADDRESS, SECOND));
    });

    it("keep a note of the later life that came before its registration", () => {
      const { runners } = noted(1);
      take(runners, 5, SECOND);
      runners.forget({ address: ADDRESS, startedAtMs: FIRST });
      assert.ok(runners.isSlow(ADDRESS, SECOND));
    });

    it("are named in notes as older writers and readers know them", () => {
      const value = Buffer.from(JSON.stringify({ slowness: 2 }));
      const old = { address: ADDRESS, slowness: 2, startedAtMs: undefined };
      assert.equal(decodePaceNote({ key: ADDRESS, value }), old);
      assert.is(encodePaceNote(old).toString(), value.toString());
      const note = { ...old, startedAtMs: FIRST };
      const record = { key: ADDRESS, value: encodePaceNote(note) };
      assert.equal(decodePaceNote(record), note);
    });
  });
});
