import * as assert from "uvu/assert";
import { Simulation, type Connection } from "../../fuzz/requests/simulation.js";
import { runToCompletion, findViolations } from "../../fuzz/requests/oracle.js";
import { describe, it } from "../support/describe.js";

const REPEATABLE = true;
const NON_REPEATABLE = false;
const STREAMED = true;
const HEARTBEAT_MS = 500;

/** Connection that carries the only dispatch of the simulation. */
function findDispatchConnection(simulation: Simulation): Connection {
  const connection = simulation.connections.find(({ toAgent }) =>
    toAgent.some(({ kind }) => kind === "dispatch"),
  );
  if (connection === undefined)
    throw new TypeError("no connection carries a dispatch");
  return connection;
}

function outcomeOf(simulation: Simulation, request: string) {
  const { outcomes, pieces } = simulation.callers.get(request) ?? {
    outcomes: [],
    pieces: [],
  };
  const starts = simulation.agents.flatMap(({ engine }) =>
    engine.starts.filter((start) => start.request === request),
  ).length;
  return { outcome: outcomes[0]?.outcome, pieces: pieces.length, starts };
}

function waitForSilenceTimeout(simulation: Simulation): void {
  for (let heartbeat = 0; heartbeat < 6; heartbeat += 1)
    simulation.step(HEARTBEAT_MS);
}

describe("a connection that falls silent", () => {
  describe("after the dispatch arrived", () => {
    // The connection stops delivering while the engine generates. The entry
    // closes the session over a new connection, learns that the attempt
    // started, and resumes from the next piece. The caller sees a pause.
    it("completes the answer and runs it once", () => {
      const simulation = Simulation.create();
      const request = simulation.accept(
        simulation.entries[0],
        NON_REPEATABLE,
        STREAMED,
      );
      const connection = findDispatchConnection(simulation);
      for (let step = 0; step < 3; step += 1) simulation.step(10);
      connection.silent = true;
      waitForSilenceTimeout(simulation);
      runToCompletion(simulation);
      assert.equal(findViolations(simulation), []);
      const { outcome, starts } = outcomeOf(simulation, request);
      assert.equal({ outcome, starts }, { outcome: "answered", starts: 1 });
    });
  });

  describe("before the dispatch arrived", () => {
    // The dispatch is stuck in the silent connection. The agent closes the
    // session without having received it, so the request can be placed again
    // although it may run only once. The late dispatch reaches a closed session
    // and must not start.
    it("places the request again and never starts the late dispatch", () => {
      const simulation = Simulation.create();
      const request = simulation.accept(
        simulation.entries[0],
        NON_REPEATABLE,
        STREAMED,
      );
      findDispatchConnection(simulation).silent = true;
      waitForSilenceTimeout(simulation);
      runToCompletion(simulation);
      assert.equal(findViolations(simulation), []);
      const { outcome, starts } = outcomeOf(simulation, request);
      assert.equal({ outcome, starts }, { outcome: "answered", starts: 1 });
    });
  });

  describe("while no close is answered", () => {
    // The connection falls silent after a dispatch, and a partition drops every
    // close. Nothing proves whether the work ran, so the outcome must be
    // "unknown", not "not-run".
    it("reports that the outcome is unknown", () => {
      const simulation = Simulation.create();
      const request = simulation.accept(
        simulation.entries[0],
        NON_REPEATABLE,
        STREAMED,
      );
      findDispatchConnection(simulation).silent = true;
      simulation.partitioned = true;
      for (let step = 0; step < 40; step += 1) simulation.step(HEARTBEAT_MS);
      assert.is(outcomeOf(simulation, request).outcome, "unknown");
      runToCompletion(simulation);
      assert.equal(findViolations(simulation), []);
    });

    // Repeatable work is placed again only if the retry allowance permits.
    it("restarts repeatable work only within the retry allowance", () => {
      const outcomes = [true, false].map((allowed) => {
        const simulation = Simulation.create({ mayRetry: () => allowed });
        const request = simulation.accept(
          simulation.entries[0],
          REPEATABLE,
          STREAMED,
        );
        const connection = findDispatchConnection(simulation);
        connection.silent = true;
        simulation.restartAgent(connection.agent);
        runToCompletion(simulation);
        return outcomeOf(simulation, request).outcome;
      });
      assert.equal(outcomes, ["answered", "unknown"]);
    });
  });
});

describe("an agent that restarts", () => {
  // The agent crashes and loses its state. Its successor can't close a session
  // that it doesn't know, but finds the run at the engine by its ID and sends
  // the remaining pieces. The caller sees a pause.
  it("finds the run at the engine and completes the answer", () => {
    const simulation = Simulation.create();
    const request = simulation.accept(
      simulation.entries[0],
      NON_REPEATABLE,
      STREAMED,
    );
    const { agent } = findDispatchConnection(simulation);
    for (let step = 0; step < 3; step += 1) simulation.step(10);
    simulation.restartAgent(agent);
    runToCompletion(simulation);
    assert.equal(findViolations(simulation), []);
    const { outcome, starts } = outcomeOf(simulation, request);
    assert.equal({ outcome, starts }, { outcome: "answered", starts: 1 });
  });

  // A plain service can't resume a run, and the agent that started it is gone,
  // so nothing proves whether the work ran.
  it("leaves the outcome unknown if the engine can't resume", () => {
    const simulation = Simulation.create({ engineResumes: false });
    const request = simulation.accept(
      simulation.entries[0],
      NON_REPEATABLE,
      STREAMED,
    );
    const connection = findDispatchConnection(simulation);
    simulation.deliverToAgent(connection, 0);
    connection.toEntry.length = 0;
    simulation.restartAgent(connection.agent);
    runToCompletion(simulation);
    const { outcome, starts } = outcomeOf(simulation, request);
    assert.equal({ outcome, starts }, { outcome: "unknown", starts: 1 });
  });

  // The engine restarts with its agent and generates other text for the same
  // run ID. The answer must be broken off, not joined from both generations.
  it("never joins two generations into one answer", () => {
    const simulation = Simulation.create();
    const request = simulation.accept(
      simulation.entries[0],
      REPEATABLE,
      STREAMED,
    );
    const { agent } = findDispatchConnection(simulation);
    for (let step = 0; step < 4; step += 1) simulation.step(10);
    simulation.restartAgent(agent);
    simulation.restartEngine(agent);
    runToCompletion(simulation);
    assert.equal(findViolations(simulation), []);
    assert.is(outcomeOf(simulation, request).outcome, "broken-off");
  });
});

describe("an entry that was paused", () => {
  // After a pause, every connection looks silent, but the frames that arrived
  // meanwhile are still unread. The entry must not end all its sessions at
  // once.
  it("reads pending frames before it ends a silent session", () => {
    const simulation = Simulation.create({ deadlineMs: 200_000 });
    const [entry] = simulation.entries;
    const request = simulation.accept(entry, REPEATABLE, STREAMED);
    entry.paused = true;
    for (let step = 0; step < 3; step += 1) simulation.step(HEARTBEAT_MS);
    entry.paused = false;
    entry.machine.tick(simulation.now + 60_000);
    assert.ok(entry.machine.status().sessions.every(({ live }) => live));
    runToCompletion(simulation);
    assert.is(outcomeOf(simulation, request).outcome, "answered");
  });
});

describe("steady load", () => {
  // Guards against heartbeats being held up by constant dispatches. The agent
  // would then keep every answer for the whole retention time.
  it("lets the agent free the attempts that its entry has settled", () => {
    const simulation = Simulation.create();
    for (let step = 0; step < 120; step += 1) {
      simulation.accept(simulation.entries[0], REPEATABLE, STREAMED);
      simulation.step(50);
      for (const { machine } of simulation.agents) {
        const { held } = machine.status();
        assert.ok(held < 30, `${held} answers held`);
      }
    }
  });
});

describe("an answer that nobody reads", () => {
  // The entry crashes, and its callers' connections with it. Repeatable work is
  // cancelled after the retention time; other work runs to its end.
  it("is cancelled if it is repeatable, and completed if not", () => {
    const simulation = Simulation.create();
    const [entry] = simulation.entries;
    simulation.accept(entry, REPEATABLE, STREAMED);
    simulation.accept(entry, NON_REPEATABLE, STREAMED);
    simulation.step(10);
    const held = simulation.agents.map(({ machine }) => machine.running);
    assert.is(
      held.reduce((sum, count) => sum + count),
      2,
    );
    simulation.restartEntry(entry);
    runToCompletion(simulation);
    assert.equal(findViolations(simulation), []);
    for (const { machine } of simulation.agents) {
      const { running, heldBytes } = machine.status();
      assert.equal({ running, heldBytes }, { running: 0, heldBytes: 0 });
    }
  });
});
