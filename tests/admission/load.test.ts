import * as assert from "uvu/assert";
import { runAdmission } from "../../measure/admission.js";
import { ADMISSION_SCENARIOS } from "../../measure/support/admission-scenarios.js";
import {
  createAdmissionEntry,
  createPlainEntry,
} from "../../measure/support/entries.js";
import type { AdmissionResult } from "../../measure/support/admission-result.js";
import { describe, it } from "../support/describe.js";

const SEED = 7;
const DURATION_MS = 40_000;

function run(
  name: string,
  createEntry = createAdmissionEntry,
  durationMs = DURATION_MS,
): AdmissionResult {
  const scenario = ADMISSION_SCENARIOS.find((item) => item.name === name);
  if (scenario === undefined) throw new TypeError(name);
  return runAdmission(scenario, createEntry, SEED, durationMs);
}

describe("callers of a site under load", () => {
  // Guards against serving requests in order of arrival under overload: the
  // runners would be fully busy, but nearly all answers would come after their
  // deadlines.
  describe("at twice the capacity", () => {
    const result = run("saturation x2");

    it("get answers in time from 95% of the runners' capacity", () => {
      assert.ok(result.goodput >= 0.95, `${result.goodput}`);
      assert.ok(run("saturation x2", createPlainEntry).goodput < 0.5);
    });

    it("get 99% of urgent answers in time", () => {
      assert.ok(result.firstPriority >= 0.99, `${result.firstPriority}`);
    });

    it("get 95% of refusals within 50 ms", () => {
      assert.ok(result.refusedAtOnce >= 0.95, `${result.refusedAtOnce}`);
    });
  });

  // One account sends three times the capacity of all runners. Guards against
  // requests of small accounts waiting behind it, or being refused because it
  // has filled the queue.
  it("are served while one account floods the queue", () => {
    const result = run("one account floods");
    assert.ok(result.leastShare >= 0.8, `${result.leastShare}`);
    assert.ok(result.firstPriority >= 0.99, `${result.firstPriority}`);
    assert.ok(result.goodput >= 0.95, `${result.goodput}`);
  });

  // For five seconds callers send ten times the usual load. Guards against the
  // queued requests delaying urgent ones, or callers that come after the burst.
  it("get urgent answers in time during a burst", () => {
    const result = run("burst x10");
    assert.ok(result.firstPriority >= 0.99, `${result.firstPriority}`);
    assert.ok(result.late <= result.inTime / 100, `${result.late}`);
  });

  it("aren't delayed by one slow backend server", () => {
    const result = run("one slow backend server");
    assert.is(result.refused, 0);
    assert.ok(result.late <= result.inTime / 100, `${result.late}`);
  });

  it("get short answers in time among long ones", () => {
    const result = run("long and short", createAdmissionEntry, 100_000);
    assert.ok(result.firstPriority >= 0.98, `${result.firstPriority}`);
    assert.ok(result.goodput >= 0.95, `${result.goodput}`);
  });

  // All runners fail for 30 s while clients retry up to three times. Guards
  // against recovering runners getting several times the usual load, as happens
  // with only a cap on the attempts of each request.
  it("don't cause a retry storm after an outage", () => {
    const result = run("outage of 30 s", createAdmissionEntry, 80_000);
    assert.ok(result.amplification <= 1.1, `${result.amplification}`);
    assert.is(result.late, 0);
  });
});
