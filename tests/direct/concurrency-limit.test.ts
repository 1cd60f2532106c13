import * as assert from "uvu/assert";
import { ConcurrencyLimit } from "../../src/direct/concurrency-limit.js";
import { sum } from "../../src/balance/numbers.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
  type Random,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const OBJECTIVE_MS = 120;
const SLOTS = 96;
const LARGE_GROUP_SLOTS = 720;

/**
 * Simulates streams of one group behind several entries: a step takes a fixed
 * time plus a time per running stream. Demand exceeds the limits.
 */
function simulate(entries: number, stepMsPerStream: number): number[] {
  let nowMs = 0;
  const limits = Array.from({ length: entries }, () =>
    ConcurrencyLimit.create({
      now: () => nowMs,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      group: "m",
    }),
  );
  const running = limits.map(() => 0);
  const pauses: number[] = [];
  for (let step = 0; step < 400; step += 1) {
    limits.forEach((limit, entry) => {
      // One stream in twenty ends in each step; demand fills all free slots.
      running[entry] -= Math.ceil(running[entry] / 20);
      while (running[entry] < limit.limitFor(SLOTS / entries)) {
        running[entry] += 1;
      }
    });
    const total = running.reduce((sum, count) => sum + count, 0);
    const pauseMs = 30 + stepMsPerStream * total;
    nowMs += pauseMs;
    pauses.push(pauseMs);
    limits.forEach((limit, entry) => {
      for (let stream = 0; stream < running[entry]; stream += 1) {
        limit.onPause(pauseMs, OBJECTIVE_MS, () => running[entry]);
      }
    });
  }
  return pauses.slice(100);
}

const ENTRIES = 12;
const RESTART_INTERVAL_MS = 2000;
/** Time after the last restart in which the limits settle, ms. */
const SETTLING_MS = 10_000;
const MEASURED_MS = 10_000;
/** Minimum share of an entry, as a part of an even share. */
const MINIMUM_SHARE = 0.5;

/**
 * Simulates entries of a large group, each with more callers than its limit.
 */
class LargeGroup {
  nowMs = 0;
  readonly running = Array.from({ length: ENTRIES }, () => 0);
  private readonly limits = this.running.map(() => this.createLimit());

  private constructor(private readonly random: Random) {}

  static create(seed: number): LargeGroup {
    return new LargeGroup(createRandom(seed));
  }

  restart(entry: number): void {
    this.limits[entry] = this.createLimit();
    this.running[entry] = 0;
  }

  /** Runs one step of the group: some streams end, all others have an event. */
  step(): void {
    this.limits.forEach((limit, entry) => {
      this.endSomeStreams(entry);
      while (this.running[entry] < limit.limitFor(LARGE_GROUP_SLOTS)) {
        this.running[entry] += 1;
      }
    });
    const pauseMs = 30 + 0.35 * sum(this.running);
    this.nowMs += pauseMs;
    this.limits.forEach((limit, entry) => {
      const count = this.running[entry];
      for (let stream = 0; stream < count; stream += 1) {
        const seenMs = pauseMs * (0.9 + 0.2 * this.random());
        limit.onPause(seenMs, OBJECTIVE_MS, () => count);
      }
    });
  }

  private endSomeStreams(entry: number): void {
    for (let stream = this.running[entry]; stream > 0; stream -= 1) {
      if (this.random() < 1 / 20) this.running[entry] -= 1;
    }
  }

  private createLimit(): ConcurrencyLimit {
    const now = (): number => this.nowMs;
    return ConcurrencyLimit.create({
      now,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      group: "m",
    });
  }
}

/**
 * Restarts the entries one after the other. Returns the running streams of each
 * entry after the limits have settled, summed over the steps.
 */
function simulateRestarts(seed: number): readonly number[] {
  const group = LargeGroup.create(seed);
  for (let entry = 0; entry < ENTRIES; entry += 1) {
    const restartAtMs = RESTART_INTERVAL_MS * (entry + 1);
    while (group.nowMs < restartAtMs) group.step();
    group.restart(entry);
  }
  const settledAtMs = group.nowMs + SETTLING_MS;
  while (group.nowMs < settledAtMs) group.step();
  const sums = group.running.map(() => 0);
  while (group.nowMs < settledAtMs + MEASURED_MS) {
    group.step();
    group.running.forEach((count, entry) => {
      sums[entry] += count;
    });
  }
  return sums;
}

describe("concurrency limit", () => {
  for (const seed of [1, 2, 3]) {
    it(`gives every entry its share after restarts, seed ${seed}`, () => {
      // Guards against unequal shares after entries restart one after the
      // other. Each new entry begins with more than its share, and if limits
      // stay unchanged at the pause at which the group settles, callers of the
      // data centre whose entries restarted first are refused several times as
      // often as the others. Seen with that fault: limits of 8 and 71 in the
      // logs of twelve entries, and shares of 0.25 and 5 in this test.
      const sums = simulateRestarts(seed);
      const even = sum(sums) / ENTRIES;
      const shares = sums.map((count) => (count / even).toFixed(2)).join(" ");
      assert.ok(Math.min(...sums) >= even * MINIMUM_SHARE, shares);
    });
  }

  it("doesn't limit a group that meets the objective with all slots used", () => {
    const pauses = simulate(5, 0.4);
    assert.ok(Math.min(...pauses) > 30 + 0.4 * 80);
  });

  it("keeps an overloaded group within the objective", () => {
    // With all slots used, every pause would be 174 ms and every stream late.
    const pauses = simulate(5, 1.5);
    const late = pauses.filter((pauseMs) => pauseMs > OBJECTIVE_MS).length;
    assert.ok(late / pauses.length < 0.05, `${late} of ${pauses.length}`);
  });

  it("doesn't lower the limit further than needed", () => {
    const pauses = simulate(5, 1.5);
    const mean = pauses.reduce((sum, ms) => sum + ms, 0) / pauses.length;
    assert.ok(mean > OBJECTIVE_MS * 0.5, String(mean));
  });
});
