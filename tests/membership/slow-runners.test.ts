import * as assert from "uvu/assert";
import { ignoreEvents } from "../../src/internal.js";
import {
  PACE_NOTE_TTL_MS,
  SlowRunners,
  decodePaceNote,
  encodePaceNote,
} from "../../src/membership/slow-runners.js";
import type { IncarnationStart } from "../../src/membership/incarnation.js";
import { describe, it } from "../support/describe.js";

const ADDRESS = "10.0.0.1:1";

function createRunners(slowness: number): {
  runners: SlowRunners;
  setNowMs: (ms: number) => void;
} {
  let nowMs = 0;
  const runners = SlowRunners.create(() => nowMs, ignoreEvents);
  runners.apply({ address: ADDRESS, slowness, startedAtMs: undefined });
  const setNowMs = (ms: number): void => {
    nowMs = ms;
  };
  return { runners, setNowMs };
}

describe("slow runners", () => {
  it("are known by their notes", () => {
    const { runners } = createRunners(5);
    assert.ok(runners.isSlow(ADDRESS, undefined));
    assert.not.ok(runners.isSlow("10.0.0.2:1", undefined));
    runners.apply({ address: ADDRESS, slowness: 1, startedAtMs: undefined });
    assert.not.ok(runners.isSlow(ADDRESS, undefined));
  });

  it("count as recovered when nobody renews the note", () => {
    // The planner that wrote the note is gone, so nobody reports that the rank
    // has recovered. Excluded forever, its capacity would be lost to the group.
    const { runners, setNowMs } = createRunners(5);
    setNowMs(PACE_NOTE_TTL_MS - 1);
    assert.ok(runners.isSlow(ADDRESS, undefined));
    setNowMs(PACE_NOTE_TTL_MS);
    assert.not.ok(runners.isSlow(ADDRESS, undefined));
  });

  it("pass through the store unchanged", () => {
    const note = { address: ADDRESS, slowness: 4.5, startedAtMs: undefined };
    const record = { key: ADDRESS, value: encodePaceNote(note) };
    assert.equal(decodePaceNote(record), note);
    assert.is(decodePaceNote({ key: ADDRESS, value: undefined }), undefined);
  });

  describe("that have restarted", () => {
    const FIRST_START_MS = 1_790_000_000_000;
    const SECOND_START_MS = FIRST_START_MS + 5000;

    function applyNote(
      runners: SlowRunners,
      slowness: number,
      startedAtMs: IncarnationStart,
    ): void {
      runners.apply({ address: ADDRESS, slowness, startedAtMs });
    }

    it("aren't slow by a note of the earlier incarnation", () => {
      // A rank was slow because of its VM and works normally after its restart.
      // The note still applies for seconds, in which the rank would get no
      // requests.
      const { runners } = createRunners(1);
      applyNote(runners, 5, FIRST_START_MS);
      assert.ok(runners.isSlow(ADDRESS, FIRST_START_MS));
      assert.not.ok(runners.isSlow(ADDRESS, SECOND_START_MS));
    });

    it("aren't changed by a late note of the earlier incarnation", () => {
      const { runners } = createRunners(1);
      applyNote(runners, 5, SECOND_START_MS);
      applyNote(runners, 1, FIRST_START_MS);
      assert.ok(runners.isSlow(ADDRESS, SECOND_START_MS));
      applyNote(runners, 1, SECOND_START_MS);
      applyNote(runners, 5, FIRST_START_MS);
      assert.not.ok(runners.isSlow(ADDRESS, SECOND_START_MS));
    });

    it("lose a note without a start time when the earlier incarnation ends", () => {
      const { runners } = createRunners(5);
      const server = { address: ADDRESS, startedAtMs: FIRST_START_MS };
      assert.ok(runners.isSlow(ADDRESS, FIRST_START_MS));
      runners.forget(server);
      assert.not.ok(runners.isSlow(ADDRESS, SECOND_START_MS));
    });

    it("keep a note of the later incarnation that was read before its registration", () => {
      const { runners } = createRunners(1);
      applyNote(runners, 5, SECOND_START_MS);
      runners.forget({ address: ADDRESS, startedAtMs: FIRST_START_MS });
      assert.ok(runners.isSlow(ADDRESS, SECOND_START_MS));
    });

    it("are encoded so that older writers and readers stay compatible", () => {
      const value = Buffer.from(JSON.stringify({ slowness: 2 }));
      const old = { address: ADDRESS, slowness: 2, startedAtMs: undefined };
      assert.equal(decodePaceNote({ key: ADDRESS, value }), old);
      assert.is(encodePaceNote(old).toString(), value.toString());
      const note = { ...old, startedAtMs: FIRST_START_MS };
      const record = { key: ADDRESS, value: encodePaceNote(note) };
      assert.equal(decodePaceNote(record), note);
    });
  });
});
