import * as assert from "uvu/assert";
import { VirtualTime } from "../../fuzz/virtual-time.js";
import {
  failure,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { SuspectNotes } from "../../src/suspects/suspect-notes.js";
import { SuspectRequests } from "../../src/suspects/suspect-requests.js";
import { describe, it } from "../support/describe.js";

class Entry {
  readonly time = VirtualTime.create(1_790_000_000_000);
  isAway = false;
  readonly written: { readonly key: string; readonly value: Buffer }[] = [];
  readonly suspects = SuspectRequests.create(() => this.time.nowMs);
  readonly notes = SuspectNotes.create({
    name: "entry-1",
    suspects: this.suspects,
    notes: {
      put: (key, value) => {
        if (this.isAway) return Promise.reject(failure(1901));
        this.written.push({ key, value });
        return Promise.resolve();
      },
    },
    findings: RecordFindings.create({
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
    }),
    after: (delayMs, action) => {
      this.time.after(delayMs, action);
    },
    emit: ignoreEvents,
  });

  crash(digest: string, runner: string): void {
    const lostAtMs = this.time.nowMs;
    const sentAtMs = lostAtMs - 10;
    this.suspects.noteCrash(digest, { runner, sentAtMs, lostAtMs });
    this.notes.schedule();
  }

  async pass(durationMs: number): Promise<void> {
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
    const entry = new Entry();
    for (const digest of ["a", "b", "c"]) entry.crash(digest, "r1");
    await entry.pass(5000);
    assert.is(entry.written.length, 1);
  });

  it("tells another entry what it needs to withhold", async () => {
    const [entry, other] = [new Entry(), new Entry()];
    entry.crash("a", "r1");
    await entry.pass(1000);
    entry.crash("a", "r2");
    await entry.pass(1000);
    other.notes.take(entry.written);
    assert.ok(other.suspects.isWithheld("a"));
  });

  it("is written when the store is back", async () => {
    const entry = new Entry();
    entry.isAway = true;
    entry.crash("a", "r1");
    await entry.pass(3000);
    entry.isAway = false;
    await entry.pass(1500);
    assert.is(entry.written.length, 1);
  });

  it("is written again when the store has lost it", async () => {
    const entry = new Entry();
    entry.notes.onStoreReturned();
    await entry.pass(1000);
    assert.is(entry.written.length, 0);
    entry.crash("a", "r1");
    await entry.pass(1000);
    entry.notes.onStoreReturned();
    await entry.pass(1000);
    assert.is(entry.written.length, 2);
  });

  it("is left out where it can't be read, and the others hold", () => {
    const entry = new Entry();
    const bad = ["", "[]", '{"suspicions":[{"digest":"\\n"}]}', "\u0000"];
    entry.notes.take(
      bad.map((text, at) => ({ key: `e${at}`, value: Buffer.from(text) })),
    );
    assert.is(entry.suspects.size, 0);
  });
});
