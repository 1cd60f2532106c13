import * as assert from "uvu/assert";
import {
  runPlacement,
  PLACEMENT_SCENARIOS,
  type PlacementResult,
} from "../../measure/placement.js";
import {
  leastInFlight,
  placementChooser,
  roundRobin,
  twoChoices,
  type CreateChooser,
} from "../../measure/support/choosers.js";
import { describe, it } from "../support/describe.js";

const SEED = 7;
const DURATION_MS = 30_000;

function run(
  name: string,
  chooser: CreateChooser = placementChooser(),
): PlacementResult {
  const scenario = PLACEMENT_SCENARIOS.find((item) => item.name === name);
  if (scenario === undefined) throw new TypeError(name);
  return runPlacement(scenario, chooser, SEED, DURATION_MS);
}

describe("callers of placed requests", () => {
  it("hit cached prefixes without waiting at an overloaded runner", () => {
    const result = run("skewed prefixes");
    const other = run("skewed prefixes", leastInFlight);
    assert.ok(result.cachedShare >= 1.4 * other.cachedShare);
    assert.ok(result.firstTokenP99 <= 1.5 * other.firstTokenP99);
  });

  // One runner becomes five times slower. Guards against sending it as many
  // requests as the others, which makes one in twelve callers wait for minutes.
  it("are sent to a slow backend server less often than to the others", () => {
    const result = run("one slow");
    assert.ok(
      result.firstTokenP99 <= run("one slow", roundRobin).firstTokenP99 / 10,
    );
    assert.ok(
      result.firstTokenP95 <= run("one slow", twoChoices).firstTokenP95,
    );
  });

  // A runner that fails at once looks idle. Guards against sending it nearly
  // all requests, so that each caller needs several attempts.
  it("need few retries while one runner fails", () => {
    const result = run("one failing fast");
    assert.is(result.failed, 0);
    assert.ok(result.attemptsEach <= 1.03, `${result.attemptsEach}`);
  });

  it("aren't delayed by decisions on reports that are seconds old", () => {
    const stale = run("stale reports");
    assert.ok(
      stale.firstTokenP95 <= run("stale reports", twoChoices).firstTokenP95,
    );
  });

  it("lose few answers when a data centre is lost", () => {
    const result = run("data centre lost");
    const other = run("data centre lost", leastInFlight);
    assert.ok(result.failed <= other.failed / 10, `${result.failed}`);
  });

  it("wait less than with the best baselines at 320 independent entries", () => {
    const result = run("320 entries");
    for (const chooser of [leastInFlight, twoChoices]) {
      assert.ok(
        result.firstTokenP95 < run("320 entries", chooser).firstTokenP95,
      );
    }
  });
});
