import * as assert from "uvu/assert";
import { StreamTimeliness } from "../../src/direct/stream-timeliness.js";
import { describe, it } from "../support/describe.js";

const OBJECTIVES = { objectiveMs: 400, pauseObjectiveMs: 120 };

function timelinessOf(firstMs: number, pausesMs: readonly number[]): string {
  const timeliness = StreamTimeliness.create(OBJECTIVES);
  timeliness.onFirstEvent(firstMs);
  for (const pauseMs of pausesMs) timeliness.onPause(pauseMs);
  return timeliness.result;
}

describe("timeliness of a stream", () => {
  it("is in time at the objectives", () => {
    assert.is(timelinessOf(400, [120, 60]), "in-time");
  });

  it("names a late first event", () => {
    assert.is(timelinessOf(401, [120]), "late-start");
  });

  it("names a single long pause among short ones", () => {
    assert.is(timelinessOf(100, [50, 121, 50]), "late-pause");
  });

  it("names both", () => {
    assert.is(timelinessOf(401, [121]), "late-start-and-pause");
  });
});
