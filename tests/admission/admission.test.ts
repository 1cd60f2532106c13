import * as assert from "uvu/assert";
import {
  Admission,
  createRandom,
  ignoreEvents,
  type AdmissionRequest,
  type Refusal,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

interface GivenUp extends Refusal {
  readonly id: string;
}

interface Bench {
  readonly admission: Admission;
  readonly time: { nowMs: number };
  readonly started: AdmissionRequest[];
  readonly givenUp: GivenUp[];
  readonly room: { count: number };
}

function create(room: number, entries = 1): Bench {
  const time = { nowMs: 0 };
  const started: AdmissionRequest[] = [];
  const givenUp: GivenUp[] = [];
  const bench = { time, started, givenUp, room: { count: room } };
  const admission = Admission.create({
    now: () => time.nowMs,
    random: createRandom(3),
    emit: ignoreEvents,
    entries: () => entries,
    start: (request) => {
      if (bench.room.count === 0) return false;
      bench.room.count -= 1;
      started.push(request);
      return true;
    },
    giveUp: ({ id }, refusal) => givenUp.push({ id, ...refusal }),
  });
  return { ...bench, admission };
}

let lastId = 0;

function request(values: Partial<AdmissionRequest> = {}): AdmissionRequest {
  lastId += 1;
  return {
    id: `r${lastId}`,
    account: "crews",
    weight: 1,
    pool: "drafting",
    profile: "normal",
    priority: 5,
    costTokens: 100,
    serviceMs: 100,
    arrivedAtMs: 0,
    deadlineAtMs: 60_000,
    queue: { maximumTokens: 10_000, maximumWaitMs: 30_000 },
    concurrency: 1000,
    ...values,
  };
}

/** Ends the oldest running request, so that one place becomes free. */
function endOne({ admission, room, started }: Bench, served: number): void {
  const ended = started.at(served);
  if (ended === undefined) return;
  room.count += 1;
  const { costTokens, serviceMs } = ended;
  admission.onEnded(ended, { costTokens, durationMs: serviceMs });
}

function countBy(
  requests: readonly AdmissionRequest[],
  account: string,
): number {
  return requests.filter((item) => item.account === account).length;
}

describe("admission", () => {
  it("starts a request at once while there is room", () => {
    const { admission, started } = create(1);
    assert.is(admission.offer(request()).kind, "admitted");
    assert.is(started.length, 1);
    assert.is(admission.offer(request()).kind, "queued");
  });

  describe("when one account floods", () => {
    // Crews of a small account see their lookups refused: a large account has
    // filled the queue with its drafts, and whoever comes later finds it full.
    it("gives each account its share by cost, not by count", () => {
      const bench = create(4);
      for (let index = 0; index < 60; index += 1) {
        bench.admission.offer(request({ account: "large", costTokens: 400 }));
      }
      for (let index = 0; index < 60; index += 1) {
        bench.admission.offer(request({ account: "small" }));
      }
      for (let index = 0; index < 44; index += 1) endOne(bench, index);
      const served = bench.started.slice(4);
      const large = countBy(served, "large") * 400;
      const small = countBy(served, "small") * 100;
      assert.ok(Math.abs(large - small) <= 800, `${large} against ${small}`);
    });

    it("displaces the youngest request of the largest account", () => {
      const bench = create(0);
      for (let index = 0; index < 100; index += 1) {
        bench.admission.offer(request({ account: "large" }));
      }
      const newest = `r${lastId}`;
      const refused = bench.admission.offer(request({ account: "large" }));
      assert.is(refused.kind, "refused");
      assert.is(
        bench.admission.offer(request({ account: "small" })).kind,
        "queued",
      );
      assert.is(bench.givenUp[0]?.id, newest);
      assert.is(bench.givenUp[0]?.error.number, 1505);
    });
  });

  describe("priorities", () => {
    it("come first, but the lower ones get a twentieth", () => {
      const bench = create(1);
      bench.admission.offer(request());
      const queue = { maximumTokens: 1_000_000, maximumWaitMs: 50_000 };
      for (let index = 0; index < 200; index += 1) {
        bench.admission.offer(request({ profile: "low", priority: 9, queue }));
        bench.admission.offer(request({ profile: "high", priority: 0, queue }));
      }
      for (let index = 0; index < 100; index += 1) endOne(bench, index);
      const served = bench.started.slice(1);
      const low = served.filter(({ priority }) => priority === 9).length;
      assert.ok(low >= 4 && low <= 6, `${low} of ${served.length}`);
    });
  });

  describe("deadlines", () => {
    it("refuses at once what can't be finished in time", () => {
      const bench = create(1);
      bench.admission.offer(request({ serviceMs: 1000 }));
      endOne(bench, 0);
      bench.admission.offer(request({ serviceMs: 1000 }));
      const short = { serviceMs: 1000, deadlineAtMs: 12_000 };
      assert.is(bench.admission.offer(request(short)).kind, "queued");
      assert.is(bench.admission.offer(request(short)).kind, "queued");
      const offer = bench.admission.offer(
        request({ ...short, account: "crews" }),
      );
      assert.is(offer.kind, "queued");
      const late = bench.admission.offer(request(short));
      assert.is(late.kind, "refused");
      if (late.kind !== "refused") return;
      assert.is(late.error.number, 1502);
      assert.is(late.error.entry.outcome, "not-run");
      assert.ok(late.retryAfterMs >= 100);
    });

    it("gives up a waiting request once and at once, with a time to return", () => {
      const bench = create(0);
      bench.admission.offer(request({ deadlineAtMs: 500, serviceMs: 100 }));
      assert.is(bench.admission.nextGiveUpAtMs, 300);
      bench.time.nowMs = 300;
      bench.admission.sweep();
      bench.admission.sweep();
      assert.is(bench.givenUp.length, 1);
      assert.is(bench.givenUp[0]?.error.number, 1502);
      bench.room.count = 1;
      bench.admission.drain("drafting");
      assert.is(bench.started.length, 0);
    });

    it("gives up what waits longer than its profile lets it", () => {
      const bench = create(0);
      bench.admission.offer(request());
      bench.time.nowMs = 30_000;
      bench.admission.sweep();
      assert.is(bench.givenUp[0]?.error.number, 1503);
    });
  });

  it("keeps a profile within its concurrency and serves the others", () => {
    const bench = create(10);
    for (let index = 0; index < 3; index += 1) {
      bench.admission.offer(request({ profile: "narrow", concurrency: 2 }));
    }
    assert.is(bench.started.length, 2);
    bench.admission.offer(request({ profile: "wide" }));
    bench.admission.drain("drafting");
    assert.is(bench.started.length, 3);
    endOne(bench, 0);
    assert.is(bench.started.length, 4);
  });

  it("takes back what an agent refused, ahead of the account's others", () => {
    const bench = create(1);
    const first = request();
    bench.admission.offer(first);
    bench.admission.offer(request());
    bench.admission.putBack(first);
    bench.room.count = 1;
    bench.admission.drain("drafting");
    assert.is(bench.started.at(-1), first);
  });

  it("forgets a waiting request whose caller went away", () => {
    const bench = create(0);
    const gone = request();
    bench.admission.offer(gone);
    assert.ok(bench.admission.cancel(gone.id));
    bench.room.count = 1;
    bench.admission.drain("drafting");
    assert.is(bench.started.length, 0);
  });

  describe("an account's limit", () => {
    const accountLimit = { tokensPerSecond: 1000, burstTokens: 2000 };

    for (const entries of [1, 3, 12, 320]) {
      it(`overshoots by one request an entry at most, over ${entries}`, () => {
        const benches = Array.from({ length: entries }, () =>
          create(Number.POSITIVE_INFINITY, entries),
        );
        const seconds = 60;
        let granted = 0;
        for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 250) {
          for (const { admission, time } of benches) {
            time.nowMs = nowMs;
            const offer = admission.offer(request({ accountLimit }));
            if (offer.kind === "admitted") granted += 100;
          }
        }
        const bound = seconds * 1000 + 2000 + entries * 100;
        assert.ok(granted <= bound, `${granted} over ${bound}`);
      });
    }

    it("tells when to come back", () => {
      const { admission } = create(100);
      admission.offer(request({ accountLimit, costTokens: 5000 }));
      const offer = admission.offer(request({ accountLimit }));
      assert.is(offer.kind, "refused");
      if (offer.kind !== "refused") return;
      assert.is(offer.error.number, 1504);
      assert.ok(offer.retryAfterMs >= 3000);
    });
  });
});
