import * as assert from "uvu/assert";
import {
  groupsToMoveTo,
  groupsToStartIn,
  type GroupLoad,
} from "../../src/direct/group-choice.js";
import { describe, it } from "../support/describe.js";

function load(name: string, running: number, room: number): GroupLoad {
  return { name, running, room, isOut: false };
}

const names = (groups: readonly GroupLoad[]): readonly string[] =>
  groups.map(({ name }) => name);

describe("choice of a group", () => {
  it("is the one with the least part of its room taken", () => {
    const groups = [load("a", 6, 8), load("b", 4, 16), load("c", 3, 4)];
    assert.equal(names(groupsToStartIn(groups)), ["b", "a", "c"]);
  });

  it("leaves out groups without room for new requests", () => {
    const groups = [load("full", 4, 4), load("over", 9, 4), load("a", 3, 4)];
    assert.equal(names(groupsToStartIn(groups)), ["a"]);
  });

  it("takes full groups and broken ones last for a request that moves", () => {
    // Its place is its own; refused, it would be lost to its caller.
    const groups = [
      { ...load("broken", 0, 4), isOut: true },
      load("full", 4, 4),
      load("a", 3, 4),
    ];
    const order = names(groupsToMoveTo(groups, new Set()));
    assert.equal(order, ["a", "full", "broken"]);
  });

  it("is another one for a request that was refused in the first", () => {
    // A group refuses as one: both attempts were lost before it was known broken.
    const groups = [load("refused", 0, 4), load("full", 4, 4)];
    const order = names(groupsToMoveTo(groups, new Set(["refused"])));
    assert.equal(order, ["full", "refused"]);
  });
});
