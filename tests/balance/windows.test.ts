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
const settings = { windowSteps: 10, lateSteps: 2, leastShare: 0.25 };

function stepOf(rank: number, step: number, version = 7): RankStep {
  const counts = [[rank === 0 ? 5 : 0, rank === 1 ? 3 : 0]];
  return { rank, step, version, durationMs: 4, counts };
}

/** Takes in all these steps of rank 0. */
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
   * Reports of single steps get lost. A planner that took the sum of those
   * that came would see demand fall and rise with the losses, and move experts
   * for it; so steps that are missing count like those that came.
   */
  it("are not smaller for step reports that were lost", () => {
    const steps = range(0, 13).filter((step) => step % 2 === 0);
    const [window] = collect(WindowCollector.create(settings), steps);
    assert.equal(Array.from(window.tokens), [50]);
  });

  it("tell nothing when most of their steps are missing", () => {
    const windows = collect(WindowCollector.create(settings), [0, 1, 12, 13]);
    assert.is(windows.length, 0);
  });

  /*
   * A switch happens within a window: the first steps ran on the old map,
   * whose slots held other experts. Put together, their tokens would be
   * counted for experts that never had them.
   */
  it("leave out steps of another map", () => {
    const collector = WindowCollector.create(settings);
    const old = range(0, 5).flatMap((step) =>
      collector.add(stepOf(0, step, 6), map, 0),
    );
    const windows = [...old, ...collect(collector, range(5, 13))];
    assert.is(windows.length, 1);
    assert.equal(Array.from(windows[0].tokens), [50]);
  });

  it("come once, although a step of theirs comes late", () => {
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
   * One rank's agent is down and sends nothing. The planner still has to see
   * the others, or a hot expert would stay hot until that agent is back.
   */
  it("go on without a rank that is silent", () => {
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
