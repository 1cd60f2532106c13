import * as assert from "uvu/assert";
import {
  runPlacement,
  SCENARIOS,
  type PlacementResult,
} from "../../measure/placement.js";
import {
  leastInFlight,
  ours,
  roundRobin,
  twoChoices,
  type CreateChooser,
} from "../../measure/support/choosers.js";
import { describe, it } from "../support/describe.js";

const SEED = 7;
const DURATION_MS = 30_000;

function run(name: string, chooser: CreateChooser = ours()): PlacementResult {
  const scenario = SCENARIOS.find((item) => item.name === name);
  if (scenario === undefined) throw new TypeError(name);
  return runPlacement(scenario, chooser, SEED, DURATION_MS);
}

describe("callers of placed requests", () => {
  it("find their prefix cached without waiting at a hot runner", () => {
    const result = run("skewed prefixes");
    const other = run("skewed prefixes", leastInFlight);
    assert.ok(result.cachedShare >= 1.4 * other.cachedShare);
    assert.ok(result.firstTokenP99 <= 1.5 * other.firstTokenP99);
  });

  // One runner becomes five times slower. Who spreads requests evenly sends it
  // as many as the others, so one in twelve callers waits for minutes.
  it("aren't sent to a slow backend server as often as to the others", () => {
    const result = run("one slow");
    assert.ok(
      result.firstTokenP99 <= run("one slow", roundRobin).firstTokenP99 / 10,
    );
    assert.ok(
      result.firstTokenP95 <= run("one slow", twoChoices).firstTokenP95,
    );
  });

  // A runner that fails at once looks idle. Who sends to the idlest one sends
  // it nearly everything, and each caller needs several attempts.
  it("need hardly more than one attempt beside a failing runner", () => {
    const result = run("one failing fast");
    assert.is(result.failed, 0);
    assert.ok(result.attemptsEach <= 1.03, `${result.attemptsEach}`);
  });

  it("aren't misled by reports that are seconds old", () => {
    const stale = run("stale reports");
    assert.ok(
      stale.firstTokenP95 <= run("stale reports", twoChoices).firstTokenP95,
    );
  });

  it("lose few answers with a data centre, and none after its return", () => {
    const result = run("data centre lost");
    const other = run("data centre lost", leastInFlight);
    assert.ok(result.failed <= other.failed / 10, `${result.failed}`);
  });

  it("wait less than by the best baselines where 320 entries act alone", () => {
    const result = run("320 entries");
    for (const chooser of [leastInFlight, twoChoices]) {
      assert.ok(
        result.firstTokenP95 < run("320 entries", chooser).firstTokenP95,
      );
    }
  });
});
