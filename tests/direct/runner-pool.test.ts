import * as assert from "uvu/assert";
import { createRandom, ignoreEvents } from "../../src/internal.js";
import type { RunnerConnections } from "../../src/direct/runner-connections.js";
import { RunnerPool, type Runner } from "../../src/direct/runner-pool.js";
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
  /** How connections of earlier lives were ended, in order. */
  readonly ended: string[] = [];

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
      endAll: () => {
        this.ended.push(`${address} all`);
      },
      endOpenedBefore: (startedAtMs) => {
        this.ended.push(`${address} before ${startedAtMs}`);
      },
    };
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

  describe("that have started again", () => {
    const FIRST = { ...SERVER, startedAtMs: 1000 };
    const SAME_ADDRESS = { ...SERVER, startedAtMs: 2000 };
    const MOVED = { ...SAME_ADDRESS, address: "10.0.0.1:80" };
    const NOTHING = new Set<Runner>();

    function startAgain(
      pool: RunnerPool,
      later: typeof SERVER | typeof FIRST,
    ): void {
      pool.remove(FIRST.id);
      pool.endLife(FIRST, later);
      pool.set(later);
    }

    function placed(pool: RunnerPool): Runner {
      const runner = pool.choose(NOTHING);
      assert.ok(runner !== undefined);
      pool.start(runner);
      return runner;
    }

    it("fail what runs at another address at once", () => {
      // The earlier life's VM is cut off: no reset comes. What was sent there
      // would be waited for until the callers' time is over.
      const connections = new Connections();
      const pool = poolOf(connections);
      pool.set(FIRST);
      placed(pool);
      startAgain(pool, MOVED);
      assert.equal(connections.ended, ["10.0.0.0:80 all"]);
    });

    it("fail what runs on connections from before at the same address", () => {
      // Until its registration is read, requests reach the later life as well,
      // and those must not be cut.
      const connections = new Connections();
      const pool = poolOf(connections);
      pool.set(FIRST);
      placed(pool);
      startAgain(pool, SAME_ADDRESS);
      assert.equal(connections.ended, ["10.0.0.0:80 before 2000"]);
    });

    it("fail what still runs after they were removed", () => {
      const connections = new Connections();
      const pool = poolOf(connections);
      pool.set(FIRST);
      placed(pool);
      pool.remove(FIRST.id);
      assert.equal(connections.ended, []);
      pool.endLife(FIRST, MOVED);
      assert.equal(connections.ended, ["10.0.0.0:80 all"]);
    });

    it("fail what runs on connections that were replaced", () => {
      const connections = new Connections();
      const pool = poolOf(connections);
      pool.set(FIRST);
      pool.renew(placed(pool));
      startAgain(pool, MOVED);
      assert.equal(connections.ended, ["10.0.0.0:80 all", "10.0.0.0:80 all"]);
    });

    it("get new connections, and keep no trace of failures before", () => {
      // Three failures in a row leave the earlier life out, and the last
      // request found it full. The later one is sound and empty.
      const connections = new Connections();
      const pool = poolOf(connections);
      pool.set(FIRST);
      for (const verdict of ["failed", "failed", "failed"] as const) {
        pool.release(placed(pool), verdict);
      }
      assert.is(pool.choose(NOTHING), undefined);
      startAgain(pool, SAME_ADDRESS);
      assert.is(connections.opened, 2);
      assert.ok(pool.choose(NOTHING) !== undefined);
      assert.is(
        pool.runningIn(() => true),
        0,
      );
    });

    it("aren't judged by attempts at the earlier life that end late", () => {
      const pool = poolOf(new Connections());
      pool.set(FIRST);
      const late = placed(pool);
      startAgain(pool, SAME_ADDRESS);
      pool.release(late, "full");
      assert.ok(pool.choose(NOTHING) !== undefined);
      assert.is(
        pool.runningIn(() => true),
        0,
      );
    });

    it("may be tried again by a request that the earlier life failed", () => {
      const pool = poolOf(new Connections());
      pool.set(FIRST);
      const earlier = placed(pool);
      startAgain(pool, SAME_ADDRESS);
      const later = pool.choose(new Set([earlier]));
      assert.is(later?.server.startedAtMs, 2000);
    });
  });
});
