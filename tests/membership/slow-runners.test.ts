import * as assert from "uvu/assert";
import { ignoreEvents } from "../../src/internal.js";
import {
  NOTE_LASTS_MS,
  SlowRunners,
  decodePaceNote,
  encodePaceNote,
} from "../../src/membership/slow-runners.js";
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
    assert.ok(runners.isSlow(ADDRESS));
    assert.not.ok(runners.isSlow("10.0.0.2:1"));
    runners.take({ address: ADDRESS, slowness: 1, startedAtMs: undefined });
    assert.not.ok(runners.isSlow(ADDRESS));
  });

  it("count as sound again when nobody renews the note", () => {
    // The planner that wrote it is gone, and with it whoever would say that the
    // rank has recovered. Left out for good, the group would lack a rank's room.
    const { runners, at } = noted(5);
    at(NOTE_LASTS_MS - 1);
    assert.ok(runners.isSlow(ADDRESS));
    at(NOTE_LASTS_MS);
    assert.not.ok(runners.isSlow(ADDRESS));
  });

  it("pass through the store unchanged", () => {
    const note = { address: ADDRESS, slowness: 4.5, startedAtMs: undefined };
    const record = { key: ADDRESS, value: encodePaceNote(note) };
    assert.equal(decodePaceNote(record), note);
    assert.is(decodePaceNote({ key: ADDRESS, value: undefined }), undefined);
  });
});
