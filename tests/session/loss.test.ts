import * as assert from "uvu/assert";
import { World, type Connection } from "../../fuzz/requests/world.js";
import { settle, violations } from "../../fuzz/requests/oracle.js";
import { describe, it } from "../support/describe.js";

const REPEATABLE = true;
const ONCE = false;
const STREAMED = true;
const HEARTBEAT_MS = 500;

/** Connection that carries the only request of the world, with its agent. */
function busyConnection(world: World): Connection {
  const found = world.connections.find(({ up }) =>
    up.some(({ kind }) => kind === "dispatch"),
  );
  if (found === undefined) throw new TypeError("nothing is dispatched");
  return found;
}

function outcomeOf(world: World, request: string) {
  const { outcomes, pieces } = world.callers.get(request) ?? {
    outcomes: [],
    pieces: [],
  };
  const starts = world.agents.flatMap(({ engine }) =>
    engine.starts.filter((start) => start.request === request),
  ).length;
  return { outcome: outcomes[0]?.outcome, pieces: pieces.length, starts };
}

function waitForSilence(world: World): void {
  for (let beat = 0; beat < 6; beat += 1) world.step(HEARTBEAT_MS);
}

describe("a connection that falls silent", () => {
  describe("after the dispatch arrived", () => {
    // The caller sees a pause in its stream, then the rest of it. The middle
    // of the connection lost track of it while the engine generates; the entry
    // hears nothing, closes the session over a new connection, learns that the
    // attempt started, and resumes from the next piece.
    it("completes the answer and runs it once", () => {
      const world = World.create();
      const request = world.accept(world.entries[0], ONCE, STREAMED);
      const connection = busyConnection(world);
      for (let step = 0; step < 3; step += 1) world.step(10);
      connection.silent = true;
      waitForSilence(world);
      settle(world);
      assert.equal(violations(world), []);
      const { outcome, starts } = outcomeOf(world, request);
      assert.equal({ outcome, starts }, { outcome: "answered", starts: 1 });
    });
  });

  describe("before the dispatch arrived", () => {
    // The caller waits, then gets its answer. The dispatch hangs in the dead
    // connection; the agent closes the session without having seen it, so the
    // request may be placed again although it may run only once. The dispatch
    // arrives in the end and meets the closed session.
    it("places the request again and never starts the late dispatch", () => {
      const world = World.create();
      const request = world.accept(world.entries[0], ONCE, STREAMED);
      busyConnection(world).silent = true;
      waitForSilence(world);
      settle(world);
      assert.equal(violations(world), []);
      const { outcome, starts } = outcomeOf(world, request);
      assert.equal({ outcome, starts }, { outcome: "answered", starts: 1 });
    });
  });

  describe("while no close is answered", () => {
    // The caller of work that may run once is told "unknown". The dispatch was
    // sent, the connection fell silent, and every close gets lost with the
    // data centre: nobody can say whether the work ran, so "not run" would be
    // a guess.
    it("says that the outcome is unknown", () => {
      const world = World.create();
      const request = world.accept(world.entries[0], ONCE, STREAMED);
      busyConnection(world).silent = true;
      world.partitioned = true;
      for (let step = 0; step < 40; step += 1) world.step(HEARTBEAT_MS);
      assert.is(outcomeOf(world, request).outcome, "unknown");
      settle(world);
      assert.equal(violations(world), []);
    });

    // Work that may be repeated is placed elsewhere, if the allowance permits.
    it("starts repeatable work anew only within the retry allowance", () => {
      const outcomes = [true, false].map((allowed) => {
        const world = World.create({ mayRetry: () => allowed });
        const request = world.accept(world.entries[0], REPEATABLE, STREAMED);
        const connection = busyConnection(world);
        connection.silent = true;
        world.restartAgent(connection.agent);
        settle(world);
        return outcomeOf(world, request).outcome;
      });
      assert.equal(outcomes, ["answered", "unknown"]);
    });
  });
});

describe("an agent that restarts", () => {
  // The caller sees a pause, then the rest. The agent died with its memory;
  // its successor closes nothing it doesn't know, finds the run at the engine
  // by its name, and sends what is still wanted.
  it("finds the run at the engine and completes the answer", () => {
    const world = World.create();
    const request = world.accept(world.entries[0], ONCE, STREAMED);
    const { agent } = busyConnection(world);
    for (let step = 0; step < 3; step += 1) world.step(10);
    world.restartAgent(agent);
    settle(world);
    assert.equal(violations(world), []);
    const { outcome, starts } = outcomeOf(world, request);
    assert.equal({ outcome, starts }, { outcome: "answered", starts: 1 });
  });

  // The caller of work that may run once is told "unknown": a plain service
  // can't be asked for a run, and the agent that started it is gone.
  it("leaves the outcome unknown where the engine can't resume", () => {
    const world = World.create({ engineResumes: false });
    const request = world.accept(world.entries[0], ONCE, STREAMED);
    const connection = busyConnection(world);
    world.deliverUp(connection, 0);
    connection.down.length = 0;
    world.restartAgent(connection.agent);
    settle(world);
    const { outcome, starts } = outcomeOf(world, request);
    assert.equal({ outcome, starts }, { outcome: "unknown", starts: 1 });
  });

  // The caller gets a broken-off answer, never one joined from two: the engine
  // restarted with its agent and generated other words under the same name.
  it("never joins two generations into one answer", () => {
    const world = World.create();
    const request = world.accept(world.entries[0], REPEATABLE, STREAMED);
    const { agent } = busyConnection(world);
    for (let step = 0; step < 4; step += 1) world.step(10);
    world.restartAgent(agent);
    world.restartEngine(agent);
    settle(world);
    assert.equal(violations(world), []);
    assert.is(outcomeOf(world, request).outcome, "broken-off");
  });
});

describe("an entry that was paused", () => {
  // Callers see a pause and nothing else. The entry wakes and finds every
  // connection unheard for long; what arrived meanwhile waits to be read, so
  // it must not drop all its sessions at once.
  it("reads what waits before it takes a session for silent", () => {
    const world = World.create({ deadlineMs: 200_000 });
    const [entry] = world.entries;
    const request = world.accept(entry, REPEATABLE, STREAMED);
    entry.paused = true;
    for (let step = 0; step < 3; step += 1) world.step(HEARTBEAT_MS);
    entry.paused = false;
    entry.machine.tick(world.now + 60_000);
    assert.ok(entry.machine.status().sessions.every(({ live }) => live));
    settle(world);
    assert.is(outcomeOf(world, request).outcome, "answered");
  });
});

describe("steady load", () => {
  // Operators see the agent's memory stay level. The entry dispatches all the
  // time; its heartbeats must go out nevertheless, or the agent would hold
  // every answer for the whole hold time.
  it("lets the agent forget what its entry has settled", () => {
    const world = World.create();
    for (let step = 0; step < 120; step += 1) {
      world.accept(world.entries[0], REPEATABLE, STREAMED);
      world.step(50);
      for (const { machine } of world.agents) {
        const { held } = machine.status();
        assert.ok(held < 30, `${held} answers held`);
      }
    }
  });
});

describe("an answer that nobody reads", () => {
  // The entry died with its callers' connections. Repeatable work is cancelled
  // after the hold time; work that may run once goes on to its end.
  it("is cancelled if it is repeatable, and completed if not", () => {
    const world = World.create();
    const [entry] = world.entries;
    world.accept(entry, REPEATABLE, STREAMED);
    world.accept(entry, ONCE, STREAMED);
    world.step(10);
    const held = world.agents.map(({ machine }) => machine.running);
    assert.is(
      held.reduce((sum, count) => sum + count),
      2,
    );
    world.restartEntry(entry);
    settle(world);
    assert.equal(violations(world), []);
    for (const { machine } of world.agents) {
      const { running, heldBytes } = machine.status();
      assert.equal({ running, heldBytes }, { running: 0, heldBytes: 0 });
    }
  });
});
