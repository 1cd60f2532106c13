import * as assert from "uvu/assert";
import { VirtualTime } from "../../fuzz/virtual-time.js";
import {
  failure,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { SuspectParts } from "../../src/suspects/suspect-parts.js";
import { SuspectSync } from "../../src/suspects/suspect-sync.js";
import { SuspectRequests } from "../../src/suspects/suspect-requests.js";
import { describe, it } from "../support/describe.js";

class EntryFixture {
  readonly time = VirtualTime.create(1_790_000_000_000);
  isStoreDown = false;
  readonly written: { readonly key: string; readonly value: Buffer }[] = [];
  readonly suspects = SuspectRequests.create(() => this.time.nowMs);
  readonly parts = SuspectParts.create(() => this.time.nowMs);
  readonly sync = SuspectSync.create({
    name: "entry-1",
    suspects: this.suspects,
    parts: this.parts,
    notes: {
      put: (key, value) => {
        if (this.isStoreDown) return Promise.reject(failure(1901));
        this.written.push({ key, value });
        return Promise.resolve();
      },
    },
    findings: RecordFindings.create({
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
    }),
    after: (delayMs, action) => {
      this.time.schedule(delayMs, action);
    },
    emit: ignoreEvents,
  });

  crash(digest: string, runner: string): void {
    const lostAtMs = this.time.nowMs;
    const sentAtMs = lostAtMs - 10;
    this.suspects.addOwnRun(digest, { runner, sentAtMs, lostAtMs });
    this.sync.schedulePublish();
  }

  async advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      this.time.advance(50);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

describe("an entry's record of suspects", () => {
  it("is written once for all suspects of a crash", async () => {
    const entry = new EntryFixture();
    for (const digest of ["a", "b", "c"]) entry.crash(digest, "r1");
    await entry.advance(5000);
    assert.is(entry.written.length, 1);
  });

  it("makes another entry withhold the request", async () => {
    const [entry, other] = [new EntryFixture(), new EntryFixture()];
    entry.crash("a", "r1");
    await entry.advance(1000);
    entry.crash("a", "r2");
    await entry.advance(1000);
    other.sync.apply(entry.written);
    assert.ok(other.suspects.isWithheld("a"));
  });

  it("is written when the store is back", async () => {
    const entry = new EntryFixture();
    entry.isStoreDown = true;
    entry.crash("a", "r1");
    await entry.advance(3000);
    entry.isStoreDown = false;
    await entry.advance(1500);
    assert.is(entry.written.length, 1);
  });

  it("is written again after a rollback of the store", async () => {
    const entry = new EntryFixture();
    entry.sync.onStoreRolledBack();
    await entry.advance(1000);
    assert.is(entry.written.length, 0);
    entry.crash("a", "r1");
    await entry.advance(1000);
    entry.sync.onStoreRolledBack();
    await entry.advance(1000);
    assert.is(entry.written.length, 2);
  });

  it("is read if an earlier release has written it", () => {
    // Guards against entries of two releases that ignore each other.
    const entry = new EntryFixture();
    const runs = [{ runner: "r1", sentAtMs: 1, lostAtMs: entry.time.nowMs }];
    const record = { suspicions: [{ digest: "a", runs }], acquittals: [] };
    const value = Buffer.from(JSON.stringify(record));
    entry.sync.apply([{ key: "entry-2", value }]);
    assert.ok(entry.suspects.isSuspect("a"));
  });

  it("tells which parts of another entry's lost runs are harmless", async () => {
    // Guards against entries that blame a part because they have just started.
    const [entry, other] = [new EntryFixture(), new EntryFixture()];
    entry.parts.onSurvived(["popular"]);
    const { nowMs: lostAtMs } = other.time;
    const run = {
      runner: "r1",
      request: "q",
      sentAtMs: lostAtMs - 10,
      lostAtMs,
    };
    other.parts.addOwnRun({ ...run, parts: ["popular", "new"] });
    other.sync.schedulePublish();
    await other.advance(1000);
    entry.sync.apply(other.written);
    await entry.advance(1000);
    assert.equal(
      entry.parts.ownRecord().harmlessParts.map(({ part }) => part),
      ["popular"],
    );
    assert.is(entry.written.length, 1);
  });

  it("is skipped if it can't be read", () => {
    const entry = new EntryFixture();
    const bad = ["", "[]", '{"suspicions":[{"digest":"\\n"}]}', "\u0000"];
    entry.sync.apply(
      bad.map((text, at) => ({ key: `e${at}`, value: Buffer.from(text) })),
    );
    assert.is(entry.suspects.size, 0);
  });
});
