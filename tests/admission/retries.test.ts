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
  while (allowance.spend(1) !== undefined) spent += 1;
  return spent;
}

describe("retry allowance", () => {
  // Callers see the recovery of a failed rack take minutes: each of their
  // requests is sent again and again, and the runners that come back get many
  // times the usual load.
  it("bounds retries in an outage, whatever time passes", () => {
    const allowance = create();
    assert.is(spendAll(allowance), 20);
    assert.is(allowance.spend(1), undefined);
  });

  it("is refilled by whole answers, one retry for ten", () => {
    const allowance = create();
    spendAll(allowance);
    for (let index = 0; index < 51; index += 1) allowance.onSuccess();
    assert.is(spendAll(allowance), 5);
  });

  it("stops one request after four attempts", () => {
    assert.is(create().spend(4), undefined);
  });

  it("spreads the delays", () => {
    const allowance = create();
    const delays = Array.from({ length: 10 }, () => allowance.spend(3) ?? -1);
    assert.is(new Set(delays).size, 10);
    assert.ok(delays.every((delay) => delay >= 0 && delay < 100));
  });
});

describe("agent's own limit", () => {
  it("keeps room for the first priority that others can't take", () => {
    const limit = AgentLimit.create({ slots: 8, queueShare: 0.5 });
    let entries = 0;
    const nextEntry = (): string => {
      entries += 1;
      return `entry-${entries - 1}`;
    };
    let others = 0;
    while (limit.enter(5, nextEntry())) others += 1;
    let first = 0;
    while (limit.enter(0, nextEntry())) first += 1;
    assert.equal([others, first], [10, 2]);
    for (let index = 0; index < 3; index += 1) limit.leave(`entry-${index}`);
    assert.ok(limit.enter(5, nextEntry()));
  });

  // Callers of one entry are refused while those of another are served: the
  // entry that filled the runners first replaces each request that ends.
  it("lets the entry with fewer requests in beyond the slots", () => {
    const limit = AgentLimit.create({ slots: 8, queueShare: 1 });
    for (let index = 0; index < 7; index += 1) {
      assert.ok(limit.enter(5, "early"));
    }
    assert.ok(limit.enter(5, "late"));
    assert.not(limit.enter(5, "early"));
    assert.ok(limit.enter(5, "late"));
    assert.ok(limit.enter(0, "early"));
  });
});
