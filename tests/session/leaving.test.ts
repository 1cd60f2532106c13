import * as assert from "uvu/assert";
import { Simulation } from "../../fuzz/requests/simulation.js";
import { runToCompletion, findViolations } from "../../fuzz/requests/oracle.js";
import { describe, it } from "../support/describe.js";

const GRACE_MS = 30_000;

function outcomes(simulation: Simulation) {
  return [...simulation.callers.values()].map(({ outcomes: [final] }) => final);
}

describe("a leaving agent", () => {
  // The agent starts to leave while a dispatch is in flight. It refuses the
  // dispatch, which proves that the work never starts, and the entry places the
  // request at the other runner.
  it("refuses a dispatch in flight, which is then placed elsewhere", () => {
    const simulation = Simulation.create();
    simulation.accept(simulation.entries[0], false, true);
    const connection = simulation.connections.find(
      ({ toAgent }) => toAgent.length > 0,
    );
    connection?.agent.machine.leave(GRACE_MS, simulation.now);
    runToCompletion(simulation);
    assert.equal(findViolations(simulation), []);
    assert.is(outcomes(simulation)[0].outcome, "answered");
    assert.is(connection?.agent.engine.starts.length, 0);
  });

  it("exits once its answers are read and its entries know that it leaves", () => {
    const simulation = Simulation.create();
    for (let count = 0; count < 4; count += 1) {
      simulation.accept(simulation.entries[0], false, true);
    }
    simulation.step(10);
    const [agent] = simulation.agents;
    agent.machine.leave(GRACE_MS, simulation.now);
    assert.is(agent.cutRunsAtDrain, undefined);
    for (let step = 0; step < 12; step += 1) simulation.step(100);
    assert.is(agent.cutRunsAtDrain, 0);
    for (const final of outcomes(simulation))
      assert.is(final.outcome, "answered");
  });
});

describe("a leaving entry", () => {
  // New callers go to another entry. The process may exit only after the
  // callers that it already has got their complete answers.
  it("accepts no new request and aborts none", () => {
    const simulation = Simulation.create();
    const [entry] = simulation.entries;
    simulation.accept(entry, true, true);
    entry.machine.leave(GRACE_MS, simulation.now);
    simulation.accept(entry, true, true);
    assert.is(simulation.callers.size, 1);
    assert.not(entry.machine.isDrained);
    runToCompletion(simulation);
    assert.ok(entry.machine.isDrained);
    assert.is(outcomes(simulation)[0].outcome, "answered");
  });

  it("reports requests that outlast the grace period as broken off", () => {
    const simulation = Simulation.create();
    const [entry] = simulation.entries;
    simulation.accept(entry, true, true);
    simulation.step(10);
    simulation.step(10);
    entry.machine.leave(0, simulation.now);
    simulation.step(10);
    const [final] = outcomes(simulation);
    assert.equal([final.outcome, final.error], ["broken-off", 1219]);
  });
});
