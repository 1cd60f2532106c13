import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import { decodePaceNote } from "../../src/membership/slow-runners.js";
import { PaceReporter } from "../../src/rankmaps/pace-reporter.js";
import { describe, it } from "../support/describe.js";

const ADDRESS = "10.0.0.1:1";

class Notes {
  nowMs = 0;
  isAway = false;
  readonly written: number[] = [];

  readonly reporter = PaceReporter.create({
    now: () => this.nowMs,
    emit: ignoreEvents,
    notes: {
      put: (key, value) => {
        if (this.isAway) return Promise.reject(failure(1901));
        const note = decodePaceNote({ key, value });
        assert.is(note?.address, ADDRESS);
        this.written.push(note?.slowness ?? 0);
        return Promise.resolve();
      },
    },
  });

  async look(slowness: number): Promise<void> {
    this.reporter.look([
      { address: ADDRESS, slowness, startedAtMs: undefined },
    ]);
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
});
