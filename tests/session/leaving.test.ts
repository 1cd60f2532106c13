import * as assert from "uvu/assert";
import { World } from "../../fuzz/requests/world.js";
import { settle, violations } from "../../fuzz/requests/oracle.js";
import { describe, it } from "../support/describe.js";

const GRACE_MS = 30_000;

function outcomes(world: World) {
  return [...world.callers.values()].map(({ outcomes: [final] }) => final);
}

describe("a leaving agent", () => {
  // The caller sees nothing. The dispatch was under way when the agent began
  // to leave; it is refused, which proves that it never starts, and the entry
  // places it at the other runner.
  it("refuses a dispatch under way, which is then placed elsewhere", () => {
    const world = World.create();
    world.accept(world.entries[0], false, true);
    const busy = world.connections.find(({ up }) => up.length > 0);
    busy?.agent.machine.leave(GRACE_MS, world.now);
    settle(world);
    assert.equal(violations(world), []);
    assert.is(outcomes(world)[0].outcome, "answered");
    assert.is(busy?.agent.engine.starts.length, 0);
  });

  it("ends once its answers are read and its entries know", () => {
    const world = World.create();
    for (let count = 0; count < 4; count += 1) {
      world.accept(world.entries[0], false, true);
    }
    world.step(10);
    const [agent] = world.agents;
    agent.machine.leave(GRACE_MS, world.now);
    assert.is(agent.drainedRuns, undefined);
    for (let step = 0; step < 12; step += 1) world.step(100);
    assert.is(agent.drainedRuns, 0);
    for (const final of outcomes(world)) assert.is(final.outcome, "answered");
  });
});

describe("a leaving entry", () => {
  // New callers are sent to another entry; those already here get their whole
  // answers, and only then may the process end.
  it("takes nothing new and cuts nothing", () => {
    const world = World.create();
    const [entry] = world.entries;
    world.accept(entry, true, true);
    entry.machine.leave(GRACE_MS, world.now);
    world.accept(entry, true, true);
    assert.is(world.callers.size, 1);
    assert.not(entry.machine.isDrained);
    settle(world);
    assert.ok(entry.machine.isDrained);
    assert.is(outcomes(world)[0].outcome, "answered");
  });

  it("tells what outlasts the grace truthfully", () => {
    const world = World.create();
    const [entry] = world.entries;
    world.accept(entry, true, true);
    world.step(10);
    world.step(10);
    entry.machine.leave(0, world.now);
    world.step(10);
    const [final] = outcomes(world);
    assert.equal([final.outcome, final.error], ["broken-off", 1219]);
  });
});
