import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import {
  PlannerLease,
  renewalPauseMs,
  type LeaseAssignment,
  type LeaseService,
} from "../../src/rankmaps/planner-lease.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";

/**
 * Returns the assignment that the test has set; an undefined assignment is an
 * outage.
 */
class FakeStore {
  assignment: LeaseAssignment | undefined = {
    generation: 1,
    era: 0,
    isHolder: false,
  };
  /** The store's era, as reported by any of its responses. */
  era = 0;
  /** Generations that were sent to the store. */
  readonly namedGenerations: number[] = [];
  joins = 0;
  /** Whether this process is a candidate for the lease. */
  isCandidate = true;
  hasLeft = false;

  readonly service: LeaseService = {
    join: (_group, _member, generation) => {
      this.joins += 1;
      this.namedGenerations.push(generation);
      const { assignment } = this;
      return assignment === undefined
        ? Promise.reject(failure(1901))
        : Promise.resolve(assignment);
    },
    leave: () => {
      this.hasLeft = true;
      return Promise.resolve();
    },
  };

  /** Waits until the lease has been renewed. */
  async nextJoin(): Promise<void> {
    const before = this.joins;
    while (this.joins < before + 2) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }
}

async function withLease(
  body: (store: FakeStore, lease: PlannerLease) => Promise<void>,
  store = new FakeStore(),
): Promise<FakeStore> {
  const lease = PlannerLease.create({
    service: store.service,
    emit: ignoreEvents,
    era: () => store.era,
    member: "agent.1",
    leastLeaseMs: 100,
  });
  const stop = new AbortController();
  const running = lease.run("group", stop.signal, () => store.isCandidate);
  try {
    await body(store, lease);
  } finally {
    stop.abort();
    await running;
  }
  return store;
}

describe("renewal of the planner lease", () => {
  it("comes soon while assignments change", () => {
    // All agents start together. The lease moves with most joins, and nobody
    // plans until its last holder has renewed it.
    assert.ok(renewalPauseMs(1600, 0) <= 150);
    assert.ok(renewalPauseMs(1600, 500) <= 150);
  });

  it("comes a few times per lease once they have settled", () => {
    const pauseMs = renewalPauseMs(1600, 5000);
    assert.ok(pauseMs > 400 && pauseMs < 1600 / 2, String(pauseMs));
    assert.ok(renewalPauseMs(90, 0) < 90 / 2);
  });
});

describe("planner lease", () => {
  it("is held while the store grants it, and left at the end", async () => {
    const store = await withLease(async (store, lease) => {
      assert.is(lease.generation, undefined);
      store.assignment = { generation: 4, era: 0, isHolder: true };
      await store.nextJoin();
      assert.is(lease.generation, 4);
      store.assignment = { generation: 5, era: 0, isHolder: false };
      await store.nextJoin();
      assert.is(lease.generation, undefined);
    });
    assert.ok(store.hasLeft);
  });

  it("is kept through an outage of the store", async () => {
    // Demand keeps shifting while the store is unreachable. Nobody else can be
    // granted the lease then, and without a planner every stream of the group
    // would become late.
    await withLease(async (store, lease) => {
      store.assignment = { generation: 4, era: 0, isHolder: true };
      await store.nextJoin();
      store.assignment = undefined;
      await store.nextJoin();
      assert.is(lease.generation, 4);
    });
  });

  it("is relinquished when an order was fenced, until a newer assignment", async () => {
    // The store granted the lease to another agent, whose orders reached a rank
    // before this process learned of it.
    await withLease(async (store, lease) => {
      store.assignment = { generation: 4, era: 0, isHolder: true };
      await store.nextJoin();
      lease.relinquish();
      await store.nextJoin();
      assert.is(lease.generation, undefined);
      store.assignment = { generation: 7, era: 0, isHolder: true };
      await store.nextJoin();
      assert.is(lease.generation, 7);
    });
  });

  describe("of a store that is rolled back to an older copy", () => {
    it("isn't held until the store grants it again", async () => {
      // The copy's holder may be another agent: if both planned, two maps would
      // be switched to at once.
      await withLease(async (store, lease) => {
        store.assignment = { generation: 9, era: 0, isHolder: true };
        await store.nextJoin();
        store.assignment = undefined;
        store.era = 1;
        assert.is(lease.generation, undefined);
        await store.nextJoin();
        assert.is(lease.generation, undefined);
        store.assignment = { generation: 3, era: 1, isHolder: true };
        await store.nextJoin();
        assert.ok((lease.generation ?? 0) > 9);
      });
    });

    it("has generations above those of all earlier eras", async () => {
      // Generations are issued again. With an equal number ranks would take two
      // maps for one, and with a lower one they would refuse every order.
      await withLease(async (store, lease) => {
        store.assignment = { generation: 999_999, era: 4, isHolder: true };
        store.era = 4;
        await store.nextJoin();
        const before = lease.generation ?? 0;
        store.assignment = { generation: 0, era: 5, isHolder: true };
        store.era = 5;
        await store.nextJoin();
        assert.ok((lease.generation ?? 0) > before);
      });
    });

    it("sends it no generation of an earlier era", async () => {
      // A member that names a later generation confirms all earlier
      // assignments, which this process hasn't seen.
      const { namedGenerations: named } = await withLease(async (store) => {
        store.assignment = { generation: 9, era: 0, isHolder: false };
        await store.nextJoin();
        store.assignment = undefined;
        store.era = 1;
        store.namedGenerations.length = 0;
        await store.nextJoin();
      });
      assert.ok(named.every((generation) => generation === 0));
    });
  });

  describe("with other candidates", () => {
    it("isn't requested", async () => {
      const store = new FakeStore();
      store.isCandidate = false;
      await withLease(() => pause(200), store);
      assert.is(store.joins, 0);
    });

    it("is left, and requested again once they are gone", async () => {
      // A member that stays in the group without renewing is granted the lease,
      // and the group has no planner until that lease expires.
      await withLease(async (store, lease) => {
        await store.nextJoin();
        store.isCandidate = false;
        await pause(200);
        assert.ok(store.hasLeft);
        const { joins } = store;
        await pause(200);
        assert.is(store.joins, joins);
        store.isCandidate = true;
        store.assignment = { generation: 2, era: 0, isHolder: true };
        await store.nextJoin();
        assert.is(lease.generation, 2);
      });
    });

    it("is kept by its holder", async () => {
      await withLease(async (store, lease) => {
        store.assignment = { generation: 2, era: 0, isHolder: true };
        await store.nextJoin();
        store.isCandidate = false;
        await pause(200);
        assert.is(lease.generation, 2);
        assert.not.ok(store.hasLeft);
      });
    });
  });

  it("isn't held under a generation whose versions aren't distinct", async () => {
    // Beyond the safe integers of a double, two maps would get one version.
    await withLease(async (store, lease) => {
      store.assignment = { generation: 1, era: 9008, isHolder: true };
      store.era = 9008;
      await store.nextJoin();
      assert.is(lease.generation, undefined);
      store.assignment = { generation: 1_000_000, era: 1, isHolder: true };
      store.era = 1;
      await store.nextJoin();
      assert.is(lease.generation, undefined);
    });
  });
});
