import * as assert from "uvu/assert";
import { CircuitBreaker } from "../../src/direct/circuit-breaker.js";
import { describe, it } from "../support/describe.js";

const RUNNER = "r1";

function openBreaker(): {
  breaker: CircuitBreaker;
  setNowMs: (ms: number) => void;
} {
  let nowMs = 1000;
  const breaker = CircuitBreaker.create({ now: () => nowMs });
  for (let refusal = 0; refusal < 4; refusal += 1) breaker.onRefused(RUNNER);
  const setNowMs = (ms: number): void => {
    nowMs = ms;
  };
  return { breaker, setNowMs };
}

describe("circuit breaker", () => {
  it("stays closed while some runners accept", () => {
    const breaker = CircuitBreaker.create({ now: () => 0 });
    for (let round = 0; round < 20; round += 1) {
      breaker.onRefused(RUNNER);
      breaker.onRefused(RUNNER);
      breaker.onAccepted();
      assert.ok(breaker.tryStart());
    }
  });

  it("admits one trial request at a time while it is open", () => {
    // While the group forms again, each trial request loses one of its two
    // attempts, so trials have to be rare.
    const { breaker, setNowMs } = openBreaker();
    assert.ok(breaker.isOpen);
    assert.not.ok(breaker.tryStart());
    setNowMs(1060);
    assert.ok(breaker.tryStart());
    assert.not.ok(breaker.tryStart());
    breaker.onRefused(RUNNER);
    setNowMs(1120);
    assert.ok(breaker.tryStart());
  });

  it("closes with the first accepted request", () => {
    const { breaker } = openBreaker();
    breaker.onAccepted();
    assert.not.ok(breaker.isOpen);
    assert.ok(breaker.tryStart());
  });

  it("drops only the refusals of a restarted runner", () => {
    // The service's only runner refuses and then restarts. Refusals of the
    // earlier incarnation must not limit the new one to trial requests.
    const { breaker } = openBreaker();
    breaker.forgetRunner(RUNNER);
    assert.not.ok(breaker.isOpen);
    const other = "r2";
    for (let refusal = 0; refusal < 4; refusal += 1) breaker.onRefused(other);
    breaker.onRefused(RUNNER);
    breaker.forgetRunner(RUNNER);
    assert.ok(breaker.isOpen);
  });

  it("reports that it opens, by runners, and why it closes", () => {
    const reports: string[] = [];
    const breaker = CircuitBreaker.create({
      now: () => 0,
      onOpened: (runners) => {
        reports.push(`opened by ${runners.join(",")}`);
      },
      onClosed: (runners, cause) => {
        reports.push(`${cause} after ${runners.join(",")}`);
      },
    });
    for (const runner of ["a", "b", "a", "b", "c"]) breaker.onRefused(runner);
    breaker.onAccepted();
    breaker.onAccepted();
    for (let count = 0; count < 4; count += 1) breaker.onRefused("a");
    breaker.forgetRunner("a");
    assert.equal(reports, [
      "opened by a,b",
      "accepted after a,b",
      "opened by a",
      "restarted after a",
    ]);
  });
});
