import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import { PaceInquiry } from "../../src/direct/pace-inquiry.js";
import type { PaceNote } from "../../src/membership/slow-runners.js";
import { describe, it } from "../support/describe.js";

const RUNNERS = ["10.0.0.1:1", "10.0.0.2:1"];

class Site {
  nowMs = 0;
  isLate = true;
  readonly asked: string[] = [];
  readonly notes: PaceNote[] = [];

  readonly inquiry = PaceInquiry.create({
    now: () => this.nowMs,
    emit: ignoreEvents,
    lateServices: () =>
      this.isLate ? [{ name: "model", runners: RUNNERS }] : [],
    slownessOf: (address) => {
      this.asked.push(address);
      return address === RUNNERS[0]
        ? Promise.resolve(5)
        : Promise.reject(failure(1607));
    },
    take: (note) => {
      this.notes.push(note);
    },
  });

  async looks(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }
}

describe("inquiry of runners' pace", () => {
  it("asks every runner while the store is away and streams are late", async () => {
    // This entry alone is cut off from the store. A rank turns slow; the other
    // entries are told and keep away, but the work that this one sends there
    // keeps all streams of the group late.
    const site = new Site();
    site.inquiry.onStoreLost();
    await site.looks(() => site.notes.length > 0);
    site.inquiry.onStoreRestored();
    assert.equal(site.asked, RUNNERS);
    assert.equal(site.notes, [
      { address: RUNNERS[0], slowness: 5, startedAtMs: undefined },
    ]);
  });

  it("asks nobody while streams are in time, and not all the time", async () => {
    const site = new Site();
    site.isLate = false;
    site.inquiry.onStoreLost();
    await site.looks(() => true);
    assert.equal(site.asked, []);
    site.isLate = true;
    await site.looks(() => site.asked.length === 2);
    // The clock stands still: the next inquiry isn't due.
    await new Promise((resolve) => {
      setTimeout(resolve, 600);
    });
    assert.is(site.asked.length, 2);
    site.inquiry[Symbol.dispose]();
  });
});
