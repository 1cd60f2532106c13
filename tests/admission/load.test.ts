import * as assert from "uvu/assert";
import { runAdmission } from "../../measure/admission.js";
import { ADMISSION_SCENARIOS } from "../../measure/support/admission-scenarios.js";
import {
  createAdmittedEntry,
  createPlainEntry,
} from "../../measure/support/entries.js";
import type { AdmissionResult } from "../../measure/support/judge.js";
import { describe, it } from "../support/describe.js";

const SEED = 7;
const DURATION_MS = 40_000;

function run(
  name: string,
  createEntry = createAdmittedEntry,
  durationMs = DURATION_MS,
): AdmissionResult {
  const scenario = ADMISSION_SCENARIOS.find((item) => item.name === name);
  if (scenario === undefined) throw new TypeError(name);
  return runAdmission(scenario, createEntry, SEED, durationMs);
}

describe("callers of a site under load", () => {
  // Callers ask for twice what the runners can do. Served in the order of
  // arrival, nearly every answer comes after its deadline: the runners are
  // busy all the time and nobody gets anything.
  describe("at twice the capacity", () => {
    const result = run("saturation x2");

    it("get answers in time from 95 in 100 of the runners' time", () => {
      assert.ok(result.goodput >= 0.95, `${result.goodput}`);
      assert.ok(run("saturation x2", createPlainEntry).goodput < 0.5);
    });

    it("get urgent answers in time, 99 in 100", () => {
      assert.ok(result.firstPriority >= 0.99, `${result.firstPriority}`);
    });

    it("hear of a refusal within 50 ms, 95 in 100", () => {
      assert.ok(result.refusedAtOnce >= 0.95, `${result.refusedAtOnce}`);
    });
  });

  // One account sends three times what all runners can do. The small accounts
  // see their few requests wait behind it, or refused because the queue is
  // full of it.
  it("are served beside an account that floods", () => {
    const result = run("one account floods");
    assert.ok(result.leastShare >= 0.8, `${result.leastShare}`);
    assert.ok(result.firstPriority >= 0.99, `${result.firstPriority}`);
    assert.ok(result.goodput >= 0.95, `${result.goodput}`);
  });

  // For five seconds callers send ten times the usual. What is queued then
  // must not make later callers late, nor urgent ones during the burst.
  it("get urgent answers through a burst", () => {
    const result = run("burst x10");
    assert.ok(result.firstPriority >= 0.99, `${result.firstPriority}`);
    assert.ok(result.late <= result.inTime / 100, `${result.late}`);
  });

  it("aren't held up by one slow backend server", () => {
    const result = run("one slow backend server");
    assert.is(result.refused, 0);
    assert.ok(result.late <= result.inTime / 100, `${result.late}`);
  });

  it("get short answers beside long ones", () => {
    const result = run("long and short", createAdmittedEntry, 100_000);
    assert.ok(result.firstPriority >= 0.98, `${result.firstPriority}`);
    assert.ok(result.goodput >= 0.95, `${result.goodput}`);
  });

  // All runners fail for 30 s while clients come again up to three times. With
  // a plain cap on attempts the runners that come back meet several times the
  // usual load.
  it("don't meet a storm of retries after an outage", () => {
    const result = run("outage of 30 s", createAdmittedEntry, 80_000);
    assert.ok(result.amplification <= 1.1, `${result.amplification}`);
    assert.is(result.late, 0);
  });
});
