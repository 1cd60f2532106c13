import * as assert from "uvu/assert";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import type { RunnerConnections } from "../../src/direct/runner-connections.js";
import { RunnerPool } from "../../src/direct/runner-pool.js";
import type { Runner } from "../../src/direct/runner.js";
import { unlimited } from "./unlimited.js";
import { describe, it } from "../support/describe.js";

const SERVER = {
  id: "r0",
  service: "model",
  address: "10.0.0.0:80",
  dataCentre: "here",
  slots: 4,
  isLeaving: false,
  coldLeftMs: 0,
  heartbeat: 1,
  startedAtMs: undefined,
};

/**
 * Records how connections are opened, closed and aborted. A second close
 * rejects, which as an unhandled rejection would end the process.
 */
class ConnectionRecorder {
  opened = 0;
  closed = 0;
  /** How connections of earlier incarnations were aborted, in order. */
  readonly aborted: string[] = [];

  readonly connect = (address: string): RunnerConnections => {
    this.opened += 1;
    let isClosed = false;
    const close = (): Promise<void> => {
      if (isClosed) return Promise.reject(new Error("closed already"));
      isClosed = true;
      this.closed += 1;
      return Promise.resolve();
    };
    return {
      dispatch: () => true,
      close,
      abortAll: () => {
        this.aborted.push(`${address} all`);
      },
      abortOpenedBefore: (startedAtMs) => {
        this.aborted.push(`${address} before ${startedAtMs}`);
      },
    };
  };
}

function poolOf(connections: ConnectionRecorder): RunnerPool {
  return RunnerPool.create({
    now: () => 0,
    random: createRandom(1),
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    connect: connections.connect,
    dataCentre: "here",
    isSlow: () => false,
    limits: unlimited,
  });
}

describe("runner pool", () => {
  it("opens no connections to a removed runner when a stream stalls", () => {
    // A runner is removed while a stream still runs there, and its connections
    // are closed when that ends. Then the stream stalls and is moved. Closing
    // the connections a second time fails, which ended the entry and cut the
    // requests of all its callers.
    const connections = new ConnectionRecorder();
    const pool = poolOf(connections);
    pool.set(SERVER);
    const runner = pool.selectRunner(new Set());
    assert.ok(runner !== undefined);
    pool.remove(SERVER.id);
    pool.replaceConnections(runner);
    assert.is(connections.opened, 1);
    assert.is(connections.closed, 1);
  });

  it("replaces silent connections to a current runner", async () => {
    const connections = new ConnectionRecorder();
    const pool = poolOf(connections);
    pool.set(SERVER);
    const runner = pool.selectRunner(new Set());
    assert.ok(runner !== undefined);
    pool.replaceConnections(runner);
    await pool.close();
    assert.is(connections.opened, 2);
    assert.is(connections.closed, 2);
  });

  describe("after a runner's restart", () => {
    const FIRST = { ...SERVER, startedAtMs: 1000 };
    const SAME_ADDRESS = { ...SERVER, startedAtMs: 2000 };
    const MOVED = { ...SAME_ADDRESS, address: "10.0.0.1:80" };
    const NO_RUNNERS = new Set<Runner>();

    function restart(
      pool: RunnerPool,
      later: typeof SERVER | typeof FIRST,
    ): void {
      pool.remove(FIRST.id);
      pool.endIncarnation(FIRST, later);
      pool.set(later);
    }

    function startAttempt(pool: RunnerPool): Runner {
      const runner = pool.selectRunner(NO_RUNNERS);
      assert.ok(runner !== undefined);
      pool.start(runner);
      return runner;
    }

    it("aborts attempts at another address at once", () => {
      // The earlier incarnation's VM is unreachable and sends no reset.
      // Requests that were sent there would wait until their deadline.
      const connections = new ConnectionRecorder();
      const pool = poolOf(connections);
      pool.set(FIRST);
      startAttempt(pool);
      restart(pool, MOVED);
      assert.equal(connections.aborted, ["10.0.0.0:80 all"]);
    });

    it("aborts attempts on older connections to the same address", () => {
      // Requests may reach the later incarnation before its registration is
      // read; those must not be aborted.
      const connections = new ConnectionRecorder();
      const pool = poolOf(connections);
      pool.set(FIRST);
      startAttempt(pool);
      restart(pool, SAME_ADDRESS);
      assert.equal(connections.aborted, ["10.0.0.0:80 before 2000"]);
    });

    it("aborts attempts at a removed runner", () => {
      const connections = new ConnectionRecorder();
      const pool = poolOf(connections);
      pool.set(FIRST);
      startAttempt(pool);
      pool.remove(FIRST.id);
      assert.equal(connections.aborted, []);
      pool.endIncarnation(FIRST, MOVED);
      assert.equal(connections.aborted, ["10.0.0.0:80 all"]);
    });

    it("aborts attempts on replaced connections", () => {
      const connections = new ConnectionRecorder();
      const pool = poolOf(connections);
      pool.set(FIRST);
      pool.replaceConnections(startAttempt(pool));
      restart(pool, MOVED);
      assert.equal(connections.aborted, ["10.0.0.0:80 all", "10.0.0.0:80 all"]);
    });

    it("opens new connections and drops earlier failures", () => {
      // Three consecutive failures exclude the earlier incarnation. The later
      // one is healthy and empty.
      const connections = new ConnectionRecorder();
      const pool = poolOf(connections);
      pool.set(FIRST);
      for (const verdict of ["failed", "failed", "failed"] as const) {
        pool.release(startAttempt(pool), verdict);
      }
      assert.is(pool.selectRunner(NO_RUNNERS), undefined);
      restart(pool, SAME_ADDRESS);
      assert.is(connections.opened, 2);
      assert.ok(pool.selectRunner(NO_RUNNERS) !== undefined);
      assert.is(
        pool.countRunning(() => true),
        0,
      );
    });

    it("ignores attempts at the earlier incarnation that end late", () => {
      const pool = poolOf(new ConnectionRecorder());
      pool.set(FIRST);
      const late = startAttempt(pool);
      restart(pool, SAME_ADDRESS);
      pool.release(late, "full");
      assert.ok(pool.selectRunner(NO_RUNNERS) !== undefined);
      assert.is(
        pool.countRunning(() => true),
        0,
      );
    });

    it("offers the new incarnation to a request that failed at the earlier one", () => {
      const pool = poolOf(new ConnectionRecorder());
      pool.set(FIRST);
      const earlier = startAttempt(pool);
      restart(pool, SAME_ADDRESS);
      const later = pool.selectRunner(new Set([earlier]));
      assert.is(later?.server.startedAtMs, 2000);
    });
  });
});
