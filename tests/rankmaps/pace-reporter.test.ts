import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import type { LifeStart } from "../../src/membership/life.js";
import { decodePaceNote } from "../../src/membership/slow-runners.js";
import { PaceReporter } from "../../src/rankmaps/pace-reporter.js";
import { describe, it } from "../support/describe.js";

const ADDRESS = "10.0.0.1:1";

class Notes {
  nowMs = 0;
  isAway = false;
  readonly written: number[] = [];
  readonly lives: LifeStart[] = [];

  readonly reporter = PaceReporter.create({
    now: () => this.nowMs,
    emit: ignoreEvents,
    notes: {
      put: (key, value) => {
        if (this.isAway) return Promise.reject(failure(1901));
        const note = decodePaceNote({ key, value });
        assert.is(note?.address, ADDRESS);
        this.written.push(note?.slowness ?? 0);
        this.lives.push(note?.startedAtMs);
        return Promise.resolve();
      },
    },
  });

  async look(slowness: number, startedAtMs?: number): Promise<void> {
    this.reporter.look([{ address: ADDRESS, slowness, startedAtMs }]);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

describe("pace reporter", () => {
  it("writes nothing while ranks keep their pace", async () => {
    const notes = new Notes();
    await notes.look(1);
    await notes.look(1.4);
    assert.equal(notes.written, []);
  });

  it("writes once that a rank is slow, and once that it has recovered", async () => {
    const notes = new Notes();
    for (const slowness of [1, 5, 5, 1.3, 1.2, 1]) await notes.look(slowness);
    assert.equal(notes.written, [5, 1.2]);
  });

  it("writes again before the note lapses", async () => {
    const notes = new Notes();
    await notes.look(5);
    notes.nowMs = 4500;
    await notes.look(4);
    assert.equal(notes.written, [5, 4]);
  });

  it("writes after an outage what couldn't be written during it", async () => {
    // The store is away when the rank turns slow. Entries go on sending it
    // work, and all streams of the group stay late, until they are told.
    const notes = new Notes();
    notes.isAway = true;
    await notes.look(5);
    notes.isAway = false;
    await notes.look(5);
    assert.equal(notes.written, [5]);
  });

  describe("when a rank starts again", () => {
    it("writes at once what its new life shows", async () => {
      const notes = new Notes();
      await notes.look(5, 1000);
      await notes.look(4, 2000);
      assert.equal(notes.written, [5, 4]);
      assert.equal(notes.lives, [1000, 2000]);
    });

    it("takes back the note of its earlier life", async () => {
      // Not slow enough for a note, nor fast enough for a recovery. Left as it
      // was, entries would pass the rank by until the earlier life's note lapses.
      const notes = new Notes();
      await notes.look(5, 1000);
      await notes.look(1.4, 2000);
      await notes.look(1.4, 2000);
      assert.equal(notes.written, [5, 1.4]);
    });

    it("writes nothing of an earlier life that is seen late", async () => {
      const notes = new Notes();
      await notes.look(5, 2000);
      await notes.look(1, 1000);
      notes.nowMs = 4500;
      await notes.look(9, 1000);
      assert.equal(notes.written, [5]);
    });

    it("writes again once the known life's note has lapsed", async () => {
      // The rank's clock was set back before it started again: what seems to be
      // the earlier life is the present one, and slow.
      const notes = new Notes();
      await notes.look(5, 2000);
      notes.nowMs = 9000;
      await notes.look(4, 1000);
      assert.equal(notes.lives, [2000, 1000]);
    });
  });

  it("writes again what a store that came back may have lost", async () => {
    // The copy shows the rank slow that has recovered, and the entries, which
    // read all of it anew, would send it nothing for as long as a note counts.
    const notes = new Notes();
    for (const slowness of [5, 1]) await notes.look(slowness);
    notes.reporter.onStoreReturned();
    for (const slowness of [1, 1]) await notes.look(slowness);
    assert.equal(notes.written, [5, 1, 1]);
  });
});
