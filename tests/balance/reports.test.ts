import * as assert from "uvu/assert";
import {
  Balancer,
  collectTokens,
  distributeRequests,
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

  it("are estimated from the replicas that were reported", () => {
    const reports = [report(0, [1, 2])];
    assert.equal([...collectTokens(MAP, reports)], [2, 4, UNKNOWN_TOKENS]);
  });
});

describe("speeds of ranks", () => {
  /*
   * Half of the step time doesn't depend on tokens, so the rank with the most
   * work has the highest token rate. If that counted as speed, the rank would
   * get more work, its rate would rise further, and skew would grow each plan.
   */
  it("are equal where ranks differ only in their work", () => {
    const speeds = RankSpeeds.create(SHAPE);
    const secondsOf = (tokens: number): number => 1 + tokens / 100;
    const reports = [60, 100, 140].map((tokens, rank) =>
      report(rank, [tokens, 0], { busySeconds: secondsOf(tokens) }),
    );
    for (let window = 0; window < 40; window++) speeds.observe(reports);
    assert.equal([...speeds.current()], [1, 1, 1]);
    assert.ok(Math.abs(speeds.fixedTokens - 100) < 5);
  });

  it("reflect a rank that takes longer for the same work", () => {
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
  it("keeps its estimate for experts that no report covers", () => {
    const forecast = LoadForecast.create(SHAPE);
    forecast.observe([10, 20, 30]);
    for (let window = 0; window < 30; window++) {
      forecast.observe([10, 20, UNKNOWN_TOKENS]);
    }
    const { tokens } = forecast.predict(8);
    assert.ok(Math.abs(tokens[2] - 30) < 1e-6);
  });

  it("isn't distorted by an expert missing from the first report", () => {
    // The first window lacks a rank, and its expert appears in the second one.
    // If that counted as a jump from zero, it would raise the noise estimate so
    // far that the planner would let skew grow for minutes.
    const forecast = LoadForecast.create(SHAPE);
    forecast.observe([10_000, UNKNOWN_TOKENS, 30_000]);
    for (let window = 0; window < 10; window++) {
      forecast.observe([10_000, 20_000, 30_000]);
    }
    const { tokens, variance } = forecast.predict(8);
    assert.ok(Math.abs(tokens[1] - 20_000) < 1);
    assert.ok(Math.sqrt(variance[1]) < 200);
  });

  it("restarts after a lasting jump, but not after a single burst", () => {
    // Demand moves to other experts permanently. A mean that keeps the old
    // demand corrects half of the change, and the rest takes minutes.
    const forecast = LoadForecast.create(SHAPE);
    const old = [10_000, 20_000, 30_000];
    const next = [30_000, 20_000, 10_000];
    for (let window = 0; window < 40; window++) forecast.observe(old);
    forecast.observe(next);
    assert.ok(forecast.predict(8).tokens[0] < 20_000);
    forecast.observe(next);
    assert.ok(Math.abs(forecast.predict(8).tokens[0] - 30_000) < 300);
  });

  it("keeps expert shares when total traffic rises", () => {
    const forecast = LoadForecast.create(SHAPE);
    for (let window = 0; window < 40; window++) {
      const traffic = window < 20 ? 100 : 1000;
      forecast.observe([traffic, 2 * traffic, 3 * traffic]);
    }
    const { tokens } = forecast.predict(8);
    assert.ok(Math.abs(tokens[0] / tokens[2] - 1 / 3) < 1e-6);
    assert.ok(Math.abs(tokens[2] - 3000) < 30);
  });

  it("distinguishes demand that returns from demand that stays moved", () => {
    const oscillating = LoadForecast.create(SHAPE);
    const wave = LoadForecast.create(SHAPE);
    const [one, two] = [
      [10_000, 20_000, 30_000],
      [30_000, 20_000, 10_000],
    ];
    for (let window = 0; window < 60; window++) {
      oscillating.observe(window >= 40 && window < 50 ? two : one);
      wave.observe(window >= 40 ? two : one);
    }
    assert.is(oscillating.returningShare, 1);
    assert.ok(wave.returningShare < 0.5);
  });

  it("weights the trend in a lasting drift, and the slow mean in oscillation", () => {
    const drift = LoadForecast.create(SHAPE);
    const oscillating = LoadForecast.create(SHAPE);
    for (let window = 0; window < 120; window++) {
      drift.observe([1000 + 10 * window, 3000 - 10 * window, 2000]);
      const side = Math.floor(window / 6) % 2 === 0 ? 500 : -500;
      oscillating.observe([2000 + side, 2000 - side, 2000]);
    }
    assert.is(drift.weights.indexOf(Math.max(...drift.weights)), 2);
    assert.is(oscillating.weights.indexOf(Math.max(...oscillating.weights)), 1);
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

  it("stays with an event until reports arrive", () => {
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

  it("ignores tokens counted under another map", () => {
    // Late reports can predate the last map switch. Interpreted under the new
    // map, their tokens would be assigned to other experts, and the next plan
    // would move experts for load that doesn't exist.
    const { balancer, events } = start();
    balancer.observe(MAP, [report(0, [9, 9], { mapVersion: 3 })]);
    assert.equal(events, [184]);
    assert.equal([...Array.from(balancer.ranks.requestTokens)], [0, 0, 0]);
  });

  it("reports a slow rank once", () => {
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
  it("even out expert work and speed", () => {
    const work = { expertTokens: [10, 20, 60], speeds: [1, 1, 0.5] };
    const shares = distributeRequests(work, 30);
    assert.equal([...shares], [20, 10, 0]);
  });

  it("use every rank when there is enough request work", () => {
    const work = { expertTokens: [10, 20, 30], speeds: [1, 1, 1] };
    assert.equal([...distributeRequests(work, 60)], [30, 20, 10]);
  });
});
