import * as assert from "uvu/assert";
import {
  LIMIT_RECORD_TTL_MS,
  RunnerLimits,
} from "../../src/limits/runner-limits.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const RUNNER = "r0";
const LIMIT = 10;
const MEASURED_MS = 20_000;
const STEP_MS = 10;

class Clock {
  nowMs = 1000;
}

function limitsAt(clock: Clock): RunnerLimits {
  return RunnerLimits.create({
    now: () => clock.nowMs,
    random: createRandom(3),
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    onChanged: () => undefined,
  });
}

/** Sends whenever it is allowed; returns requests per second. */
function sentRate(limits: RunnerLimits, clock: Clock): number {
  let sent = 0;
  for (let elapsedMs = 0; elapsedMs < MEASURED_MS; elapsedMs += STEP_MS) {
    clock.nowMs += STEP_MS;
    // The entry's own record stays written, and the others renew theirs.
    limits.onWritten(clock.nowMs);
    if (!limits.isOpen(RUNNER)) continue;
    limits.onSent(RUNNER);
    sent += 1;
  }
  return (sent * 1000) / MEASURED_MS;
}

function assertNear(actual: number, expected: number): void {
  assert.ok(Math.abs(actual - expected) <= expected * 0.1, String(actual));
}

describe("limits of runners", () => {
  it("allow a runner without a limit any number of requests", () => {
    const limits = limitsAt(new Clock());
    for (let count = 0; count < 100; count += 1) {
      assert.ok(limits.isOpen(RUNNER));
      limits.onSent(RUNNER);
    }
  });

  it("use the whole limit if no other entry knows of it", () => {
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.onAnswer(RUNNER, LIMIT, clock.nowMs);
    assertNear(sentRate(limits, clock), LIMIT);
  });

  it("use a small share while the other entries can't be told", () => {
    // Guards against entries that each use the whole limit while the store is
    // away.
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.onAnswer(RUNNER, LIMIT, clock.nowMs);
    limits.onStoreLost();
    let sent = 0;
    for (let second = 0; second < 10; second += 1) {
      clock.nowMs += 1000;
      if (!limits.isOpen(RUNNER)) continue;
      limits.onSent(RUNNER);
      sent += 1;
    }
    assert.ok(sent <= 2, String(sent));
  });

  it("divide the limit by the entries that know of it", () => {
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.onAnswer(RUNNER, LIMIT, clock.nowMs);
    const record = limits.ownRecord;
    for (const entry of ["b", "c", "d"]) limits.apply(entry, record);
    let sent = 0;
    for (let second = 0; second < 8; second += 1) {
      for (let step = 0; step < 100; step += 1) {
        clock.nowMs += STEP_MS;
        limits.onWritten(clock.nowMs);
        if (!limits.isOpen(RUNNER)) continue;
        limits.onSent(RUNNER);
        sent += 1;
      }
    }
    assertNear(sent / 8, LIMIT / 4);
  });

  it("use the share of an entry that is gone", () => {
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.onAnswer(RUNNER, LIMIT, clock.nowMs);
    limits.apply("b", limits.ownRecord);
    clock.nowMs += LIMIT_RECORD_TTL_MS;
    assertNear(sentRate(limits, clock), LIMIT);
  });

  it("end when the runner names none any more", () => {
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.onAnswer(RUNNER, LIMIT, clock.nowMs);
    limits.apply("b", limits.ownRecord);
    clock.nowMs += 1;
    limits.onAnswer(RUNNER, undefined, clock.nowMs);
    for (let count = 0; count < 100; count += 1) {
      assert.ok(limits.isOpen(RUNNER));
      limits.onSent(RUNNER);
    }
    assert.equal(limits.ownRecord.limits, []);
  });

  it("outlast the answer to a request that was sent before", () => {
    // Guards against an answer that was on its way when the runner named its
    // limit to another request.
    const clock = new Clock();
    const limits = limitsAt(clock);
    const sentAtMs = clock.nowMs;
    clock.nowMs += 10;
    limits.onAnswer(RUNNER, LIMIT, sentAtMs);
    limits.onAnswer(RUNNER, undefined, sentAtMs);
    assert.is(limits.ownRecord.limits.length, 1);
  });

  it("are known to an entry that has only heard of them from others", () => {
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.apply("b", { limits: [{ runner: RUNNER, requestsPerSecond: 1 }] });
    let sent = 0;
    for (let second = 0; second < 8; second += 1) {
      clock.nowMs += 1000;
      if (!limits.isOpen(RUNNER)) continue;
      limits.onSent(RUNNER);
      sent += 1;
    }
    assert.ok(sent <= 4, String(sent));
  });

  it("are forgotten with the runner's incarnation", () => {
    const clock = new Clock();
    const limits = limitsAt(clock);
    limits.onAnswer(RUNNER, 0, clock.nowMs);
    assert.not(limits.isOpen(RUNNER));
    limits.forget(RUNNER);
    assert.ok(limits.isOpen(RUNNER));
  });
});
