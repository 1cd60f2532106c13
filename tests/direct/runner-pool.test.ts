import type { Dispatcher } from "undici";
import * as assert from "uvu/assert";
import { createRandom, ignoreEvents } from "../../src/internal.js";
import { RunnerPool } from "../../src/direct/runner-pool.js";
import { describe, it } from "../support/describe.js";

const SERVER = {
  id: "r0",
  service: "model",
  address: "10.0.0.0:80",
  dataCentre: "here",
  slots: 4,
  isLeaving: false,
  heartbeat: 1,
  startedAtMs: undefined,
};

/** Closed twice, connections reject, and that would end the process. */
class Connections {
  opened = 0;
  closed = 0;

  readonly connect = (): Dispatcher => {
    this.opened += 1;
    let isClosed = false;
    const close = (): Promise<void> => {
      if (isClosed) return Promise.reject(new Error("closed already"));
      isClosed = true;
      this.closed += 1;
      return Promise.resolve();
    };
    return { close } as unknown as Dispatcher;
  };
}

function poolOf(connections: Connections): RunnerPool {
  return RunnerPool.create({
    now: () => 0,
    random: createRandom(1),
    emit: ignoreEvents,
    connect: connections.connect,
    dataCentre: "here",
    isSlow: () => false,
  });
}

describe("runners of a service", () => {
  it("that have left are given no new connections by a stream that stalls", () => {
    // A runner leaves while a stream still runs there, and its connections are
    // closed once that ends. The stream falls silent and is moved. Closing the
    // connections once more failed, which ended the whole entry and cut the
    // requests of all its callers.
    const connections = new Connections();
    const pool = poolOf(connections);
    pool.set(SERVER);
    const runner = pool.choose(new Set());
    assert.ok(runner !== undefined);
    pool.remove(SERVER.id);
    pool.renew(runner);
    assert.is(connections.opened, 1);
    assert.is(connections.closed, 1);
  });

  it("that stay get new connections in place of silent ones", async () => {
    const connections = new Connections();
    const pool = poolOf(connections);
    pool.set(SERVER);
    const runner = pool.choose(new Set());
    assert.ok(runner !== undefined);
    pool.renew(runner);
    await pool.close();
    assert.is(connections.opened, 2);
    assert.is(connections.closed, 2);
  });
});
