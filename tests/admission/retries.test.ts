import * as assert from "uvu/assert";
import {
  AgentLimit,
  createRandom,
  ignoreEvents,
  RetryAllowance,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

function create(): RetryAllowance {
  const random = createRandom(1);
  return RetryAllowance.create({ pool: "p", random, emit: ignoreEvents });
}

function spendAll(allowance: RetryAllowance): number {
  let spent = 0;
  while (allowance.takeRetry(1) !== undefined) spent += 1;
  return spent;
}

describe("retry allowance", () => {
  // Guards against retries that keep a failed rack from recovering: if every
  // request is sent many times, recovering runners get many times the usual
  // load for minutes.
  it("limits retries in an outage, however long it lasts", () => {
    const allowance = create();
    assert.is(spendAll(allowance), 20);
    assert.is(allowance.takeRetry(1), undefined);
  });

  it("is refilled by one retry per ten complete answers", () => {
    const allowance = create();
    spendAll(allowance);
    for (let index = 0; index < 51; index += 1) allowance.onSuccess();
    assert.is(spendAll(allowance), 5);
  });

  it("limits a request to four attempts", () => {
    assert.is(create().takeRetry(4), undefined);
  });

  it("randomises the delays", () => {
    const allowance = create();
    const delays = Array.from(
      { length: 10 },
      () => allowance.takeRetry(3) ?? -1,
    );
    assert.is(new Set(delays).size, 10);
    assert.ok(delays.every((delay) => delay >= 0 && delay < 100));
  });
});

describe("agent limit", () => {
  it("reserves queue space for the highest priority", () => {
    const limit = AgentLimit.create({ slots: 8, queueShare: 0.5 });
    let entries = 0;
    const nextEntry = (): string => {
      entries += 1;
      return `entry-${entries - 1}`;
    };
    let others = 0;
    while (limit.tryAcquire(5, nextEntry())) others += 1;
    let first = 0;
    while (limit.tryAcquire(0, nextEntry())) first += 1;
    assert.equal([others, first], [10, 2]);
    for (let index = 0; index < 3; index += 1) limit.release(`entry-${index}`);
    assert.ok(limit.tryAcquire(5, nextEntry()));
  });

  // Guards against the entry that filled the runners first keeping them by
  // replacing each request that ends, while requests of other entries are
  // refused.
  it("favours the entry with fewer requests once the slots are in use", () => {
    const limit = AgentLimit.create({ slots: 8, queueShare: 1 });
    for (let index = 0; index < 7; index += 1) {
      assert.ok(limit.tryAcquire(5, "early"));
    }
    assert.ok(limit.tryAcquire(5, "late"));
    assert.not(limit.tryAcquire(5, "early"));
    assert.ok(limit.tryAcquire(5, "late"));
    assert.ok(limit.tryAcquire(0, "early"));
  });
});
