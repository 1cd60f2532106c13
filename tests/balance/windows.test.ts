import * as assert from "uvu/assert";
import {
  createEvenMap,
  WindowAssembly,
  WindowCollector,
  type ExpertMap,
  type RankReport,
  type RankStep,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const shape = { ranks: 2, layers: 1, experts: 2, slotsPerRank: 1 };
const map: ExpertMap = { ...createEvenMap(shape), version: 7 };
const settings = { windowSteps: 10, lateSteps: 2, minimumStepShare: 0.25 };

function stepOf(rank: number, step: number, version = 7): RankStep {
  const counts = [[rank === 0 ? 5 : 0, rank === 1 ? 3 : 0]];
  return { rank, step, version, durationMs: 4, counts };
}

/** Adds the given steps of rank 0 and returns the completed windows. */
function collect(
  collector: WindowCollector,
  steps: readonly number[],
): RankReport[] {
  return steps.flatMap((step) => collector.add(stepOf(0, step), map, 1));
}

const range = (from: number, to: number): number[] =>
  Array.from({ length: to - from }, (_, index) => from + index);

describe("windows of a rank", () => {
  it("sum the tokens of its slots over the window's steps", () => {
    const windows = collect(WindowCollector.create(settings), range(0, 13));
    assert.is(windows.length, 1);
    const [window] = windows;
    assert.is(window.window, 0);
    assert.equal(Array.from(window.tokens), [50]);
    assert.ok(Math.abs(window.busySeconds - 0.04) < 1e-9);
  });

  /*
   * Single step reports can be lost. If only the received ones were summed, the
   * losses would look like changes of demand and cause expert moves, so the sum
   * is scaled up to the full number of steps.
   */
  it("don't shrink when step reports are lost", () => {
    const steps = range(0, 13).filter((step) => step % 2 === 0);
    const [window] = collect(WindowCollector.create(settings), steps);
    assert.equal(Array.from(window.tokens), [50]);
  });

  it("aren't reported when most of their steps are missing", () => {
    const windows = collect(WindowCollector.create(settings), [0, 1, 12, 13]);
    assert.is(windows.length, 0);
  });

  /*
   * After a map switch within a window, the first steps ran on the old map,
   * whose slots held other experts. Summed with the rest, their tokens would be
   * counted for the wrong experts.
   */
  it("ignore steps of another map", () => {
    const collector = WindowCollector.create(settings);
    const old = range(0, 5).flatMap((step) =>
      collector.add(stepOf(0, step, 6), map, 0),
    );
    const windows = [...old, ...collect(collector, range(5, 13))];
    assert.is(windows.length, 1);
    assert.equal(Array.from(windows[0].tokens), [50]);
  });

  /*
   * Step reports are sent again when the answer carrying them was lost. Counted
   * twice, they would cause moves for load that doesn't exist.
   */
  it("count a step once", () => {
    const collector = WindowCollector.create(settings);
    const steps = [...range(0, 10), 4, 4, ...range(10, 13)];
    const [window] = collect(collector, steps);
    assert.equal(Array.from(window.tokens), [50]);
  });

  it("are returned once even if one of their steps arrives late", () => {
    const collector = WindowCollector.create(settings);
    const windows = collect(collector, [...range(0, 13), 3, ...range(13, 14)]);
    assert.is(windows.length, 1);
  });
});

describe("windows of a group", () => {
  const reportOf = (rank: number, window: number): RankReport => ({
    rank,
    window,
    mapVersion: 7,
    tokens: [1],
    busySeconds: 1,
    requestTokens: 0,
  });

  it("are complete when every rank has reported", () => {
    const assembly = WindowAssembly.create(2);
    assert.is(assembly.add(reportOf(0, 0)).length, 0);
    const [reports] = assembly.add(reportOf(1, 0));
    assert.is(reports.length, 2);
  });

  /*
   * While one rank's agent is down and sends nothing, the planner still needs
   * the reports of the others; otherwise a hot expert stays hot until it is
   * back.
   */
  it("are completed without a silent rank", () => {
    const assembly = WindowAssembly.create(2);
    assembly.add(reportOf(0, 0));
    const windows = assembly.add(reportOf(0, 1));
    assert.equal(
      windows.map((reports) => reports.map(({ rank }) => rank)),
      [[0]],
    );
    assert.is(assembly.add(reportOf(1, 0)).length, 0, "too late");
  });
});
