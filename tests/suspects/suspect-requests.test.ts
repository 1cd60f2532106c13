import * as assert from "uvu/assert";
import { digestOf } from "../../src/suspects/request-digest.js";
import {
  MAXIMUM_SUSPECTS,
  SUSPECT_RETENTION_MS,
  SuspectRequests,
  WITHHOLD_DURATION_MS,
} from "../../src/suspects/suspect-requests.js";
import { describe, it } from "../support/describe.js";

const CRASHING = "crashing";
const START_MS = 1_790_000_000_000;
const RUN_MS = 50;
const STEP_MS = 500;

/** Entries that share their observations. */
class EntriesFixture {
  nowMs = START_MS;
  readonly entries = [0, 1, 2].map(() =>
    SuspectRequests.create(() => this.nowMs),
  );

  /**
   * A run of the request, sent `runMs` ago, is lost in a crash of its server.
   */
  crash(entry: number, digest: string, runner: string, runMs = RUN_MS): void {
    const sentAtMs = this.nowMs - runMs;
    const run = { runner, sentAtMs, lostAtMs: this.nowMs };
    this.entries[entry].addOwnRun(digest, run);
  }

  share(): void {
    const records = this.entries.map((entry) => entry.ownRecord());
    for (const entry of this.entries) {
      for (const record of records) entry.merge(record, "live");
    }
  }

  advance(durationMs = STEP_MS): void {
    this.nowMs += durationMs;
  }

  withheldBy(digest: string): readonly boolean[] {
    return this.entries.map((entry) => entry.isWithheld(digest));
  }
}

describe("requests that were lost in crashes", () => {
  it("are run again after one", () => {
    // Nearly all requests that ran on the server are harmless.
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.share();
    assert.equal(fixture.withheldBy(CRASHING), [false, false, false]);
  });

  it("are withheld by all entries after the second, whoever saw which", () => {
    // The request was retried at another entry, which knows of only one crash.
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.crash(1, CRASHING, "r2");
    assert.equal(fixture.withheldBy(CRASHING), [false, false, false]);
    fixture.share();
    assert.equal(fixture.withheldBy(CRASHING), [true, true, true]);
  });

  it("aren't withheld for one crash that two entries saw", () => {
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance(20);
    fixture.crash(1, CRASHING, "r1");
    fixture.share();
    assert.equal(fixture.withheldBy(CRASHING), [false, false, false]);
  });

  it("aren't withheld for servers that crashed at the same moment", () => {
    // When a rack fails, a popular request runs on several of its servers;
    // withholding it would refuse it to all of its callers.
    const fixture = new EntriesFixture();
    for (const runner of ["r1", "r2", "r3"]) fixture.crash(0, CRASHING, runner);
    fixture.share();
    assert.equal(fixture.withheldBy(CRASHING), [false, false, false]);
  });

  it("are withheld once the same server has crashed twice", () => {
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance(3000);
    fixture.crash(0, CRASHING, "r1");
    assert.ok(fixture.entries[0].isWithheld(CRASHING));
  });

  it("are run again everywhere once a run has completed", () => {
    // A harmless request ran on two servers that crashed one after the other.
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.crash(1, CRASHING, "r2");
    fixture.share();
    fixture.advance();
    assert.ok(fixture.entries[2].acquit(CRASHING));
    fixture.share();
    assert.equal(fixture.withheldBy(CRASHING), [false, false, false]);
  });

  it("are suspected again after later crashes", () => {
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.entries[0].acquit(CRASHING);
    fixture.advance();
    fixture.crash(0, CRASHING, "r2");
    assert.not.ok(fixture.entries[0].isWithheld(CRASHING));
    fixture.advance();
    fixture.crash(0, CRASHING, "r3");
    assert.ok(fixture.entries[0].isWithheld(CRASHING));
  });

  it("need a third crash at an isolated entry where they completed before", () => {
    // A popular request is lost in several unrelated crashes, and no other
    // entry can report that it completed.
    const fixture = new EntriesFixture();
    const [entry] = fixture.entries;
    entry.acquit("popular");
    entry.setIsolated(true);
    for (const runner of ["r1", "r2"]) {
      fixture.advance();
      fixture.crash(0, "popular", runner);
      fixture.crash(0, CRASHING, runner);
    }
    assert.ok(entry.isWithheld(CRASHING));
    assert.not.ok(entry.isWithheld("popular"));
    fixture.advance();
    fixture.crash(0, "popular", "r3");
    assert.ok(entry.isWithheld("popular"));
  });

  it("need a third crash at an isolated entry that knows a likelier cause", () => {
    // Other entries still run what this one withholds, and its crashes end the
    // runs of other requests.
    const fixture = new EntriesFixture();
    const [entry] = fixture.entries;
    entry.setIsolated(true);
    for (const runner of ["r1", "r2"]) {
      fixture.advance();
      fixture.crash(0, "bystander", runner, 2 * RUN_MS);
    }
    assert.ok(entry.isWithheld("bystander"));
    for (const runner of ["r3", "r4"]) {
      fixture.advance();
      fixture.crash(0, CRASHING, runner);
    }
    assert.ok(entry.isWithheld(CRASHING));
    assert.not.ok(entry.isWithheld("bystander"));
    entry.setIsolated(false);
    assert.ok(entry.isWithheld("bystander"));
  });

  it("expire, the withheld ones later", () => {
    const fixture = new EntriesFixture();
    const [entry] = fixture.entries;
    fixture.crash(0, "once", "r1");
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.crash(0, CRASHING, "r2");
    fixture.advance(SUSPECT_RETENTION_MS);
    assert.not.ok(entry.isSuspect("once"));
    assert.ok(entry.isWithheld(CRASHING));
    fixture.advance(WITHHOLD_DURATION_MS);
    assert.not.ok(entry.isWithheld(CRASHING));
    assert.is(entry.size, 0);
  });

  it("stay acquitted for an entry that starts much later", () => {
    // The entries that saw the crashes haven't written since, so their records
    // still contain both.
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.crash(1, CRASHING, "r2");
    fixture.share();
    const records = [0, 1].map((at) => fixture.entries[at].ownRecord());
    fixture.advance();
    fixture.entries[2].acquit(CRASHING);
    fixture.advance(2 * SUSPECT_RETENTION_MS);
    assert.not.ok(fixture.entries[2].isSuspect(CRASHING));
    const late = SuspectRequests.create(() => fixture.nowMs);
    for (const record of [fixture.entries[2].ownRecord(), ...records]) {
      late.merge(record, "start");
    }
    assert.not.ok(late.isWithheld(CRASHING));
  });

  it("aren't withheld for crashes that were reported late", () => {
    // During an outage of the store, two entries each lost a run of a popular
    // request. It kept completing at other entries, which didn't know that it
    // was a suspect; withheld by all from now on, it could never complete
    // again.
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance(10_000);
    fixture.crash(1, CRASHING, "r2");
    fixture.advance(10_000);
    fixture.share();
    assert.equal(fixture.withheldBy(CRASHING), [false, false, false]);
  });

  it("are read from its own record by an entry that restarts", () => {
    const fixture = new EntriesFixture();
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.crash(0, CRASHING, "r2");
    const written = fixture.entries[0].ownRecord();
    const again = SuspectRequests.create(() => fixture.nowMs);
    again.merge(written, "own");
    assert.ok(again.isWithheld(CRASHING));
    // The next record of the entry replaces the one that it has read.
    assert.equal(again.ownRecord(), written);
  });

  it("are bounded in number, and the withheld ones stay", () => {
    const fixture = new EntriesFixture();
    const [entry] = fixture.entries;
    fixture.crash(0, CRASHING, "r1");
    fixture.advance();
    fixture.crash(0, CRASHING, "r2");
    for (let count = 0; count < 2 * MAXIMUM_SUSPECTS; count += 1) {
      fixture.crash(0, `other-${count}`, "r3");
    }
    assert.is(entry.size, MAXIMUM_SUSPECTS);
    assert.ok(entry.isWithheld(CRASHING));
  });

  it("aren't withheld for longer by a clock that is ahead", () => {
    const fixture = new EntriesFixture();
    const [entry] = fixture.entries;
    const aheadMs = fixture.nowMs + 10 * WITHHOLD_DURATION_MS;
    const runs = ["r1", "r2"].map((runner, at) => ({
      runner,
      sentAtMs: aheadMs + at * 5000,
      lostAtMs: aheadMs + at * 5000 + 1,
    }));
    entry.merge(
      { suspicions: [{ digest: CRASHING, runs }], acquittals: [] },
      "start",
    );
    fixture.advance(WITHHOLD_DURATION_MS);
    assert.not.ok(entry.isWithheld(CRASHING));
  });
});

describe("digest of a request", () => {
  const content = {
    method: "POST",
    target: "/a?b=1",
    account: "account-1",
    body: Buffer.from("body"),
  };

  it("is the same only for the same method, path, account and body", () => {
    const same = digestOf({ ...content, body: Buffer.from("body") });
    assert.is(digestOf(content), same);
    const others = [
      { ...content, method: "PUT" },
      { ...content, target: "/a?b=2" },
      { ...content, account: "account-2" },
      { ...content, account: undefined },
      { ...content, body: Buffer.alloc(0) },
      { ...content, body: Buffer.alloc(1_000_000) },
    ].map(digestOf);
    assert.is(new Set([same, ...others]).size, others.length + 1);
  });

  it("reveals no part of the request", () => {
    assert.match(digestOf(content), /^[\w-]{22}$/);
  });
});
