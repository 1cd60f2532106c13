import * as assert from "uvu/assert";
import { CircuitBreaker } from "../../src/direct/circuit-breaker.js";
import { describe, it } from "../support/describe.js";

const RUNNER = "r1";

function refusing(): { breaker: CircuitBreaker; at: (ms: number) => void } {
  let nowMs = 1000;
  const breaker = CircuitBreaker.create(() => nowMs);
  for (let refusal = 0; refusal < 4; refusal += 1) breaker.onRefused(RUNNER);
  const at = (ms: number): void => {
    nowMs = ms;
  };
  return { breaker, at };
}

describe("circuit breaker", () => {
  it("stays closed while some runners accept", () => {
    const breaker = CircuitBreaker.create(() => 0);
    for (let round = 0; round < 20; round += 1) {
      breaker.onRefused(RUNNER);
      breaker.onRefused(RUNNER);
      breaker.onAccepted();
      assert.ok(breaker.mayStart());
    }
  });

  it("lets one request at a time find out whether the service is back", () => {
    // Everybody waits for the group to form; of those that try it out, each
    // loses one of two attempts.
    const { breaker, at } = refusing();
    assert.ok(breaker.isOpen);
    assert.not.ok(breaker.mayStart());
    at(1060);
    assert.ok(breaker.mayStart());
    assert.not.ok(breaker.mayStart());
    breaker.onRefused(RUNNER);
    at(1120);
    assert.ok(breaker.mayStart());
  });

  it("closes with the first answer that begins", () => {
    const { breaker } = refusing();
    breaker.onAccepted();
    assert.not.ok(breaker.isOpen);
    assert.ok(breaker.mayStart());
  });

  it("forgets the refusals of a runner that has started again, no others", () => {
    // The service's only runner has refused and starts again. Its new life
    // would have to wait for trials on account of the earlier one.
    const { breaker } = refusing();
    breaker.forget(RUNNER);
    assert.not.ok(breaker.isOpen);
    const other = "r2";
    for (let refusal = 0; refusal < 4; refusal += 1) breaker.onRefused(other);
    breaker.onRefused(RUNNER);
    breaker.forget(RUNNER);
    assert.ok(breaker.isOpen);
  });
});
