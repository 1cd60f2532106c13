import * as assert from "uvu/assert";
import {
  orderForMovedRequest,
  orderForNewRequest,
  type GroupLoad,
} from "../../src/direct/group-choice.js";
import { describe, it } from "../support/describe.js";

function load(name: string, running: number, limit: number): GroupLoad {
  return { name, running, limit, isRefusing: false };
}

const names = (groups: readonly GroupLoad[]): readonly string[] =>
  groups.map(({ name }) => name);

describe("group order", () => {
  it("starts with the least utilized group", () => {
    const groups = [load("a", 6, 8), load("b", 4, 16), load("c", 3, 4)];
    assert.equal(names(orderForNewRequest(groups)), ["b", "a", "c"]);
  });

  it("omits groups at their limit for new requests", () => {
    const groups = [load("full", 4, 4), load("over", 9, 4), load("a", 3, 4)];
    assert.equal(names(orderForNewRequest(groups)), ["a"]);
  });

  it("puts full groups and refusing groups last for a request that moves", () => {
    // The request is admitted already; refused now, it would be lost to its
    // caller.
    const groups = [
      { ...load("broken", 0, 4), isRefusing: true },
      load("full", 4, 4),
      load("a", 3, 4),
    ];
    const order = names(orderForMovedRequest(groups, new Set()));
    assert.equal(order, ["a", "full", "broken"]);
  });

  it("puts a group that has refused the request last", () => {
    // A group refuses as a whole: within it, a request would lose both attempts
    // before its circuit breaker opens.
    const groups = [load("refused", 0, 4), load("full", 4, 4)];
    const order = names(orderForMovedRequest(groups, new Set(["refused"])));
    assert.equal(order, ["full", "refused"]);
  });
});
