import * as assert from "uvu/assert";
import { headerCodec } from "../../platform/headers.js";
import type { HeaderPairs } from "../../src/direct/types.js";
import type { RunnerStatement } from "../../src/membership/runner-statement.js";
import { describe, it } from "../support/describe.js";

const PRIORITY_HEADER = "apricotdeck-request-priority";

function forwardedPriorities(
  priority: number,
  headers: HeaderPairs = [],
): readonly string[] {
  const forwarded = headerCodec.forward(headers, {
    runner: "r1",
    account: undefined,
    priority,
    remainingMs: 1000,
    resumeAfterEventId: undefined,
  });
  return forwarded
    .filter(([name]) => name.toLowerCase() === PRIORITY_HEADER)
    .map(([, value]) => value);
}

describe("the headers of a request to a runner", () => {
  it("carry the request's priority", () => {
    // Guards against an urgent request that its runner admits behind others.
    assert.equal(forwardedPriorities(0), ["0"]);
    assert.equal(forwardedPriorities(2), ["2"]);
  });

  it("replace a priority that the caller claims", () => {
    const claimed = [["Apricotdeck-Request-Priority", "0"]] as const;
    assert.equal(forwardedPriorities(2, claimed), ["2"]);
  });

  it("carry one of the ten values for any configured priority", () => {
    assert.equal(forwardedPriorities(12), ["9"]);
    assert.equal(forwardedPriorities(-1), ["0"]);
    assert.equal(forwardedPriorities(1.5), ["1"]);
    assert.equal(forwardedPriorities(Number.NaN), ["9"]);
  });
});

describe("what a runner says of its own state in an answer", () => {
  const rest = (
    value: string | string[],
    status = 503,
  ): Pick<RunnerStatement, "restMs" | "unreadableRest"> => {
    const { statement } = headerCodec.readAnswer(status, {
      "retry-after": value as string,
    });
    const { restMs, unreadableRest } = statement;
    return { restMs, unreadableRest };
  };

  it("is the rest that a 503 asks for, in seconds with or without a fraction", () => {
    assert.is(rest("3").restMs, 3000);
    assert.is(rest("0.25").restMs, 250);
    assert.is(rest(" 2 ").restMs, 2000);
    assert.is(rest("0").restMs, 0);
    assert.equal(rest("3", 429), {
      restMs: undefined,
      unreadableRest: undefined,
    });
  });

  it("is no rest if the value can't be read", () => {
    // Guards against a runner that is left idle by a bad value.
    for (const value of [
      "",
      "-1",
      "soon",
      "1e9",
      "0x10",
      "Infinity",
      "NaN",
      "9".repeat(400),
      "Wed, 21 Oct 2026 07:28:00 GMT",
    ]) {
      assert.equal(rest(value), { restMs: undefined, unreadableRest: value });
    }
    assert.equal(rest(["3", "5"]), {
      restMs: undefined,
      unreadableRest: "3, 5",
    });
  });

  it("is that it leaves in an answer of any status", () => {
    for (const status of [200, 404, 500, 503]) {
      const leaves = { "server-leaving": "1" };
      assert.ok(headerCodec.readAnswer(status, leaves).statement.isLeaving);
      const stays = { "server-leaving": "0" };
      assert.not(headerCodec.readAnswer(status, stays).statement.isLeaving);
    }
  });
});
