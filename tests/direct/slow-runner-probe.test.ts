import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import { SlowRunnerProbe } from "../../src/direct/slow-runner-probe.js";
import { NO_STATEMENT } from "../../src/membership/runner-statement.js";
import type { BackendServer } from "../../src/membership/types.js";
import type { PaceNote } from "../../src/membership/slow-runners.js";
import { describe, it } from "../support/describe.js";

const STARTED_AT_MS = 1_790_000_000_000;
const RUNNERS = ["10.0.0.1:1", "10.0.0.2:1"];
const LATE: readonly BackendServer[] = RUNNERS.map((address, index) => ({
  id: `r${index}`,
  service: "model",
  address,
  dataCentre: "here",
  slots: 4,
  isLeaving: false,
  coldLeftMs: 0,
  heartbeat: 1,
  startedAtMs: STARTED_AT_MS,
}));

class ProbeFixture {
  nowMs = 0;
  isLate = true;
  readonly probedAddresses: string[] = [];
  readonly notes: PaceNote[] = [];
  readonly leaving: string[] = [];

  readonly probe = SlowRunnerProbe.create({
    now: () => this.nowMs,
    emit: ignoreEvents,
    lateServices: () => (this.isLate ? [{ name: "model", runners: LATE }] : []),
    slownessOf: (address, onStatement) => {
      this.probedAddresses.push(address);
      onStatement({ ...NO_STATEMENT, isLeaving: address === RUNNERS[1] });
      return address === RUNNERS[0]
        ? Promise.resolve(5)
        : Promise.reject(failure(1607));
    },
    onStatement: ({ id }, { isLeaving }) => {
      if (isLeaving) this.leaving.push(id);
    },
    onPaceNote: (note) => {
      this.notes.push(note);
    },
  });

  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }
}

describe("slow runner probe", () => {
  it("probes every runner while the store is unreachable and streams are late", async () => {
    // Only this entry has lost its connection to the store. A rank becomes
    // slow; the other entries are notified and avoid it, but the requests of
    // this one keep all streams of the group late.
    const fixture = new ProbeFixture();
    fixture.probe.onStoreLost();
    await fixture.waitUntil(() => fixture.notes.length > 0);
    fixture.probe.onStoreRestored();
    assert.equal(fixture.probedAddresses, RUNNERS);
    assert.equal(fixture.leaving, ["r1"]);
    assert.equal(fixture.notes, [
      { address: RUNNERS[0], slowness: 5, startedAtMs: STARTED_AT_MS },
    ]);
  });

  it("probes no runner while streams are in time, and not more often than needed", async () => {
    const fixture = new ProbeFixture();
    fixture.isLate = false;
    fixture.probe.onStoreLost();
    await fixture.waitUntil(() => true);
    assert.equal(fixture.probedAddresses, []);
    fixture.isLate = true;
    await fixture.waitUntil(() => fixture.probedAddresses.length === 2);
    // The clock doesn't advance, so the next round of probes isn't due.
    await new Promise((resolve) => {
      setTimeout(resolve, 600);
    });
    assert.is(fixture.probedAddresses.length, 2);
    fixture.probe[Symbol.dispose]();
  });
});
