import * as assert from "uvu/assert";
import {
  Balancer,
  collectTokens,
  levelRequests,
  LoadForecast,
  RankSpeeds,
  UNKNOWN_TOKENS,
  type EventNumber,
  type ExpertMap,
  type RankReport,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const SHAPE = { ranks: 3, layers: 1, experts: 3, slotsPerRank: 2 };
const MAP: ExpertMap = { version: 4, shape: SHAPE, slots: [0, 1, 1, 2, 0, 2] };

function report(
  rank: number,
  tokens: readonly number[],
  changes: Partial<RankReport> = {},
): RankReport {
  return {
    rank,
    window: 0,
    mapVersion: 4,
    tokens,
    busySeconds: 1,
    requestTokens: 0,
    ...changes,
  };
}

describe("tokens of experts", () => {
  it("are summed over replicas", () => {
    const reports = [report(0, [1, 2]), report(1, [2, 5]), report(2, [1, 5])];
    assert.equal([...collectTokens(MAP, reports)], [2, 4, 10]);
  });

  it("are estimated from the replicas whose reports came", () => {
    const reports = [report(0, [1, 2])];
    assert.equal([...collectTokens(MAP, reports)], [2, 4, UNKNOWN_TOKENS]);
  });
});

describe("speeds of ranks", () => {
  /*
   * Skew grows with every plan. Half of a step doesn't depend on tokens, so
   * the rank with most to do has the highest rate; taken for the fastest, it
   * is given more work, and its rate rises further.
   */
  it("are even where ranks differ by their work alone", () => {
    const speeds = RankSpeeds.create(SHAPE);
    const secondsOf = (tokens: number): number => 1 + tokens / 100;
    const reports = [60, 100, 140].map((tokens, rank) =>
      report(rank, [tokens, 0], { busySeconds: secondsOf(tokens) }),
    );
    for (let window = 0; window < 40; window++) speeds.observe(reports);
    assert.equal([...speeds.current()], [1, 1, 1]);
    assert.ok(Math.abs(speeds.fixedTokens - 100) < 5);
  });

  it("show a rank that takes longer for the same work", () => {
    const speeds = RankSpeeds.create(SHAPE);
    for (let window = 0; window < 20; window++) {
      speeds.observe([
        report(0, [5, 5]),
        report(1, [5, 5], { busySeconds: 2 }),
        report(2, [5, 5]),
      ]);
    }
    const [first, slow, last] = speeds.current();
    assert.is(first, 1);
    assert.is(last, 1);
    assert.ok(Math.abs(slow - 0.5) < 0.01);
  });

  it("of nearly equal ranks count as equal", () => {
    const speeds = RankSpeeds.create(SHAPE);
    speeds.observe([
      report(0, [5, 5]),
      report(1, [5, 5], { busySeconds: 1.03 }),
      report(2, [5, 5]),
    ]);
    assert.equal([...speeds.current()], [1, 1, 1]);
  });
});

describe("the load forecast", () => {
  it("keeps its estimate of experts that no report told of", () => {
    const forecast = LoadForecast.create(SHAPE);
    forecast.observe([10, 20, 30]);
    for (let window = 0; window < 30; window++) {
      forecast.observe([10, 20, UNKNOWN_TOKENS]);
    }
    const { tokens } = forecast.predict(8);
    assert.ok(Math.abs(tokens[2] - 30) < 1e-6);
  });

  it("isn't thrown off by an expert that the first report left out", () => {
    // The first window lacks a rank. Its expert appears in the second one:
    // taken for a jump from nothing, it made the noise look so loud that the
    // planner let skew grow for minutes.
    const forecast = LoadForecast.create(SHAPE);
    forecast.observe([10_000, UNKNOWN_TOKENS, 30_000]);
    for (let window = 0; window < 10; window++) {
      forecast.observe([10_000, 20_000, 30_000]);
    }
    const { tokens, variance } = forecast.predict(8);
    assert.ok(Math.abs(tokens[1] - 20_000) < 1);
    assert.ok(Math.sqrt(variance[1]) < 200);
  });

  it("drops what it knew before a lasting jump, but not for a single burst", () => {
    // Demand turns to other experts for good. A mean that holds on to the old
    // demand levels half of it, and the group waits for the rest for minutes.
    const forecast = LoadForecast.create(SHAPE);
    const old = [10_000, 20_000, 30_000];
    const next = [30_000, 20_000, 10_000];
    for (let window = 0; window < 40; window++) forecast.observe(old);
    forecast.observe(next);
    assert.ok(forecast.predict(8).tokens[0] < 20_000);
    forecast.observe(next);
    assert.ok(Math.abs(forecast.predict(8).tokens[0] - 30_000) < 300);
  });

  it("doesn't take more traffic for another share of it", () => {
    const forecast = LoadForecast.create(SHAPE);
    for (let window = 0; window < 40; window++) {
      const traffic = window < 20 ? 100 : 1000;
      forecast.observe([traffic, 2 * traffic, 3 * traffic]);
    }
    const { tokens } = forecast.predict(8);
    assert.ok(Math.abs(tokens[0] / tokens[2] - 1 / 3) < 1e-6);
    assert.ok(Math.abs(tokens[2] - 3000) < 30);
  });

  it("knows demand that came back from demand that went on elsewhere", () => {
    const swing = LoadForecast.create(SHAPE);
    const wave = LoadForecast.create(SHAPE);
    const [one, two] = [
      [10_000, 20_000, 30_000],
      [30_000, 20_000, 10_000],
    ];
    for (let window = 0; window < 60; window++) {
      swing.observe(window >= 40 && window < 50 ? two : one);
      wave.observe(window >= 40 ? two : one);
    }
    assert.is(swing.returningShare, 1);
    assert.ok(wave.returningShare < 0.5);
  });

  it("trusts the trend once a drift lasts, and the slow mean in a swing", () => {
    const drift = LoadForecast.create(SHAPE);
    const swing = LoadForecast.create(SHAPE);
    for (let window = 0; window < 120; window++) {
      drift.observe([1000 + 10 * window, 3000 - 10 * window, 2000]);
      const side = Math.floor(window / 6) % 2 === 0 ? 500 : -500;
      swing.observe([2000 + side, 2000 - side, 2000]);
    }
    assert.is(drift.weights.indexOf(Math.max(...drift.weights)), 2);
    assert.is(swing.weights.indexOf(Math.max(...swing.weights)), 1);
  });
});

describe("the balancer", () => {
  const costs = {
    bytesPerExpert: 1,
    storeBytesPerSecond: 1,
    switchSeconds: 0,
    stagingExpertsPerRank: 1,
  };

  function start() {
    const events: EventNumber[] = [];
    const balancer = Balancer.create(SHAPE, (number) => {
      events.push(number);
    });
    return { balancer, events };
  }

  it("stays, and says so, until reports have come", () => {
    const { balancer, events } = start();
    const plan = balancer.decide({
      map: MAP,
      switchPending: false,
      costs,
      skewWeight: 1,
    });
    assert.is(plan.kind === "stay" && plan.reason, "no-reports");
    assert.equal(events, [182]);
  });

  it("leaves out tokens that were counted under another map", () => {
    // Reports come late: some were counted before the last switch. Read with
    // the new map, their tokens would go to experts that never had them, and
    // the next plan would move experts for a load that isn't there.
    const { balancer, events } = start();
    balancer.observe(MAP, [report(0, [9, 9], { mapVersion: 3 })]);
    assert.equal(events, [184]);
    assert.equal([...Array.from(balancer.ranks.requestTokens)], [0, 0, 0]);
  });

  it("names a slow rank once", () => {
    const { balancer, events } = start();
    for (let window = 0; window < 9; window++) {
      balancer.observe(MAP, [
        report(0, [5, 5]),
        report(1, [5, 5], { busySeconds: 2 }),
        report(2, [5, 5]),
      ]);
    }
    assert.equal(events, [183]);
  });
});

describe("request shares", () => {
  it("level out expert work and speed", () => {
    const work = { expertTokens: [10, 20, 60], speeds: [1, 1, 0.5] };
    const shares = levelRequests(work, 30);
    assert.equal([...shares], [20, 10, 0]);
  });

  it("use every rank when there is enough to share", () => {
    const work = { expertTokens: [10, 20, 30], speeds: [1, 1, 1] };
    assert.equal([...levelRequests(work, 60)], [30, 20, 10]);
  });
});
