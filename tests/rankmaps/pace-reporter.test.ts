import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import type { IncarnationStart } from "../../src/membership/incarnation.js";
import { decodePaceNote } from "../../src/membership/slow-runners.js";
import { PaceReporter } from "../../src/rankmaps/pace-reporter.js";
import { describe, it } from "../support/describe.js";

const ADDRESS = "10.0.0.1:1";

class ReporterFixture {
  nowMs = 0;
  isStoreUnreachable = false;
  readonly written: number[] = [];
  readonly startTimes: IncarnationStart[] = [];

  readonly reporter = PaceReporter.create({
    now: () => this.nowMs,
    emit: ignoreEvents,
    notes: {
      put: (key, value) => {
        if (this.isStoreUnreachable) return Promise.reject(failure(1901));
        const note = decodePaceNote({ key, value });
        assert.is(note?.address, ADDRESS);
        this.written.push(note?.slowness ?? 0);
        this.startTimes.push(note?.startedAtMs);
        return Promise.resolve();
      },
    },
  });

  async report(slowness: number, startedAtMs?: number): Promise<void> {
    this.reporter.report([{ address: ADDRESS, slowness, startedAtMs }]);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

describe("pace reporter", () => {
  it("writes nothing while ranks run at normal speed", async () => {
    const fixture = new ReporterFixture();
    await fixture.report(1);
    await fixture.report(1.4);
    assert.equal(fixture.written, []);
  });

  it("writes once that a rank is slow, and once that it has recovered", async () => {
    const fixture = new ReporterFixture();
    for (const slowness of [1, 5, 5, 1.3, 1.2, 1])
      await fixture.report(slowness);
    assert.equal(fixture.written, [5, 1.2]);
  });

  it("writes again before the note expires", async () => {
    const fixture = new ReporterFixture();
    await fixture.report(5);
    fixture.nowMs = 4500;
    await fixture.report(4);
    assert.equal(fixture.written, [5, 4]);
  });

  it("writes after an outage the notes that failed during it", async () => {
    // The store is unreachable when the rank becomes slow. Until the entries
    // are told, they keep sending it work, and all streams of the group stay
    // late.
    const fixture = new ReporterFixture();
    fixture.isStoreUnreachable = true;
    await fixture.report(5);
    fixture.isStoreUnreachable = false;
    await fixture.report(5);
    assert.equal(fixture.written, [5]);
  });

  describe("when a rank restarts", () => {
    it("writes the new incarnation's pace at once", async () => {
      const fixture = new ReporterFixture();
      await fixture.report(5, 1000);
      await fixture.report(4, 2000);
      assert.equal(fixture.written, [5, 4]);
      assert.equal(fixture.startTimes, [1000, 2000]);
    });

    it("replaces the note of its earlier incarnation", async () => {
      // The rank is not slow enough for a note, nor fast enough to count as
      // recovered. If the note were left as it was, entries would skip the rank
      // until the earlier incarnation's note expires.
      const fixture = new ReporterFixture();
      await fixture.report(5, 1000);
      await fixture.report(1.4, 2000);
      await fixture.report(1.4, 2000);
      assert.equal(fixture.written, [5, 1.4]);
    });

    it("ignores a late report of an earlier incarnation", async () => {
      const fixture = new ReporterFixture();
      await fixture.report(5, 2000);
      await fixture.report(1, 1000);
      fixture.nowMs = 4500;
      await fixture.report(9, 1000);
      assert.equal(fixture.written, [5]);
    });

    it("writes again once the known incarnation's note has expired", async () => {
      // The clock was set back before the rank restarted: the incarnation that
      // seems to be the earlier one is the current one, and slow.
      const fixture = new ReporterFixture();
      await fixture.report(5, 2000);
      fixture.nowMs = 9000;
      await fixture.report(4, 1000);
      assert.equal(fixture.startTimes, [2000, 1000]);
    });
  });

  it("writes again the notes that a rolled back store may have lost", async () => {
    // The copy lists a recovered rank as slow. The entries read all notes again
    // and would send it nothing until the note expires.
    const fixture = new ReporterFixture();
    for (const slowness of [5, 1]) await fixture.report(slowness);
    fixture.reporter.onStoreRolledBack();
    for (const slowness of [1, 1]) await fixture.report(slowness);
    assert.equal(fixture.written, [5, 1, 1]);
  });
});
