import * as assert from "uvu/assert";
import { digestOf } from "../../src/suspects/request-digest.js";
import {
  MOST_SUSPECTS,
  SUSPECT_KEPT_MS,
  SuspectRequests,
  WITHHELD_MS,
} from "../../src/suspects/suspect-requests.js";
import { describe, it } from "../support/describe.js";

const GUILTY = "guilty";
const START_MS = 1_790_000_000_000;
const RUN_MS = 50;
const BETWEEN_MS = 500;

/** Entries that share what they see. */
class Site {
  nowMs = START_MS;
  readonly entries = [0, 1, 2].map(() =>
    SuspectRequests.create(() => this.nowMs),
  );

  /** The request runs at a server from then on, and is lost when it crashes. */
  crash(entry: number, digest: string, runner: string, runMs = RUN_MS): void {
    const sentAtMs = this.nowMs - runMs;
    const run = { runner, sentAtMs, lostAtMs: this.nowMs };
    this.entries[entry].noteCrash(digest, run);
  }

  share(): void {
    const records = this.entries.map((entry) => entry.record());
    for (const entry of this.entries) {
      for (const record of records) entry.take(record, "live");
    }
  }

  pass(durationMs = BETWEEN_MS): void {
    this.nowMs += durationMs;
  }

  withheldBy(digest: string): readonly boolean[] {
    return this.entries.map((entry) => entry.isWithheld(digest));
  }
}

describe("requests that were lost in crashes", () => {
  it("are run again after one", () => {
    // Nearly all that ran at the server are innocent.
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.share();
    assert.equal(site.withheldBy(GUILTY), [false, false, false]);
  });

  it("are withheld by all entries after the second, whoever saw which", () => {
    // The request came again at another entry, which knows of one crash only.
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.crash(1, GUILTY, "r2");
    assert.equal(site.withheldBy(GUILTY), [false, false, false]);
    site.share();
    assert.equal(site.withheldBy(GUILTY), [true, true, true]);
  });

  it("aren't withheld for one crash that two entries saw", () => {
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass(20);
    site.crash(1, GUILTY, "r1");
    site.share();
    assert.equal(site.withheldBy(GUILTY), [false, false, false]);
  });

  it("aren't withheld for servers that crashed at the same moment", () => {
    // A rack fails. A request that many callers send runs at several of its
    // servers, and withheld it would be refused to all of them.
    const site = new Site();
    for (const runner of ["r1", "r2", "r3"]) site.crash(0, GUILTY, runner);
    site.share();
    assert.equal(site.withheldBy(GUILTY), [false, false, false]);
  });

  it("are withheld once the same server has crashed twice", () => {
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass(3000);
    site.crash(0, GUILTY, "r1");
    assert.ok(site.entries[0].isWithheld(GUILTY));
  });

  it("are run again everywhere once one has come to its end", () => {
    // Innocent, and at two servers that crashed one after the other.
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.crash(1, GUILTY, "r2");
    site.share();
    site.pass();
    assert.ok(site.entries[2].acquit(GUILTY));
    site.share();
    assert.equal(site.withheldBy(GUILTY), [false, false, false]);
  });

  it("are suspected again by what happens after that", () => {
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.entries[0].acquit(GUILTY);
    site.pass();
    site.crash(0, GUILTY, "r2");
    assert.not.ok(site.entries[0].isWithheld(GUILTY));
    site.pass();
    site.crash(0, GUILTY, "r3");
    assert.ok(site.entries[0].isWithheld(GUILTY));
  });

  it("need a third crash at a lone entry where they came to their end before", () => {
    // A request that many callers send is lost in several crashes of other causes,
    // and no other entry can tell of its ends.
    const site = new Site();
    const [entry] = site.entries;
    entry.acquit("popular");
    entry.setAlone(true);
    for (const runner of ["r1", "r2"]) {
      site.pass();
      site.crash(0, "popular", runner);
      site.crash(0, GUILTY, runner);
    }
    assert.ok(entry.isWithheld(GUILTY));
    assert.not.ok(entry.isWithheld("popular"));
    site.pass();
    site.crash(0, "popular", "r3");
    assert.ok(entry.isWithheld("popular"));
  });

  it("need a third crash at a lone entry that knows a likelier cause", () => {
    // Other entries go on to run what this one withholds, and take its runs along.
    const site = new Site();
    const [entry] = site.entries;
    entry.setAlone(true);
    for (const runner of ["r1", "r2"]) {
      site.pass();
      site.crash(0, "beside", runner, 2 * RUN_MS);
    }
    assert.ok(entry.isWithheld("beside"));
    for (const runner of ["r3", "r4"]) {
      site.pass();
      site.crash(0, GUILTY, runner);
    }
    assert.ok(entry.isWithheld(GUILTY));
    assert.not.ok(entry.isWithheld("beside"));
    entry.setAlone(false);
    assert.ok(entry.isWithheld("beside"));
  });

  it("are forgotten in time, the withheld ones later", () => {
    const site = new Site();
    const [entry] = site.entries;
    site.crash(0, "once", "r1");
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.crash(0, GUILTY, "r2");
    site.pass(SUSPECT_KEPT_MS);
    assert.not.ok(entry.isSuspect("once"));
    assert.ok(entry.isWithheld(GUILTY));
    site.pass(WITHHELD_MS);
    assert.not.ok(entry.isWithheld(GUILTY));
    assert.is(entry.size, 0);
  });

  it("stay acquitted for an entry that starts much later", () => {
    // The entries that saw the crashes haven't written since, so their records
    // still tell of both.
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.crash(1, GUILTY, "r2");
    site.share();
    const records = [0, 1].map((at) => site.entries[at].record());
    site.pass();
    site.entries[2].acquit(GUILTY);
    site.pass(2 * SUSPECT_KEPT_MS);
    assert.not.ok(site.entries[2].isSuspect(GUILTY));
    const late = SuspectRequests.create(() => site.nowMs);
    for (const record of [site.entries[2].record(), ...records]) {
      late.take(record, "start");
    }
    assert.not.ok(late.isWithheld(GUILTY));
  });

  it("aren't withheld for crashes that were heard of late", () => {
    // The store was away. Both entries lost a run of a popular request, which went
    // on elsewhere all the time, where nobody knew that it was a suspect; withheld
    // by all from now on, it could never come to its end again.
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass(10_000);
    site.crash(1, GUILTY, "r2");
    site.pass(10_000);
    site.share();
    assert.equal(site.withheldBy(GUILTY), [false, false, false]);
  });

  it("are known to an entry that starts again by what the others wrote", () => {
    const site = new Site();
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.crash(0, GUILTY, "r2");
    const written = site.entries[0].record();
    const again = SuspectRequests.create(() => site.nowMs);
    again.take(written, "own");
    assert.ok(again.isWithheld(GUILTY));
    // Its next record replaces the one that it has read.
    assert.equal(again.record(), written);
  });

  it("are bounded in number, and the withheld ones stay", () => {
    const site = new Site();
    const [entry] = site.entries;
    site.crash(0, GUILTY, "r1");
    site.pass();
    site.crash(0, GUILTY, "r2");
    for (let count = 0; count < 2 * MOST_SUSPECTS; count += 1) {
      site.crash(0, `other-${count}`, "r3");
    }
    assert.is(entry.size, MOST_SUSPECTS);
    assert.ok(entry.isWithheld(GUILTY));
  });

  it("aren't withheld for longer by a clock that is ahead", () => {
    const site = new Site();
    const [entry] = site.entries;
    const aheadMs = site.nowMs + 10 * WITHHELD_MS;
    const runs = ["r1", "r2"].map((runner, at) => ({
      runner,
      sentAtMs: aheadMs + at * 5000,
      lostAtMs: aheadMs + at * 5000 + 1,
    }));
    entry.take(
      { suspicions: [{ digest: GUILTY, runs }], acquittals: [] },
      "start",
    );
    site.pass(WITHHELD_MS);
    assert.not.ok(entry.isWithheld(GUILTY));
  });
});

describe("digest of a request", () => {
  const content = {
    method: "POST",
    target: "/a?b=1",
    account: "account-1",
    body: Buffer.from("body"),
  };

  it("is the same for the same path, account and body alone", () => {
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

  it("tells no part of the request", () => {
    assert.match(digestOf(content), /^[\w-]{22}$/);
  });
});
