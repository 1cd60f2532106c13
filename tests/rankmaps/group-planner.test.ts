import * as assert from "uvu/assert";
import {
  createRandom,
  failure,
  ignoreEvents,
  raise,
} from "../../src/internal.js";
import { ignoreMeasurements } from "../../src/shared/metrics.js";
import { pause } from "../../src/daemon/background-task.js";
import {
  COUNT_INTERVAL_MS,
  GroupPlanner,
} from "../../src/rankmaps/group-planner.js";
import {
  createReachableRank,
  type AgentRank,
} from "../../src/rankmaps/reachable-rank.js";
import { SwitchRuns } from "../../src/rankmaps/switch-run.js";
import type {
  GroupRank,
  OrderFence,
  OrderResult,
  RankOrder,
  RankPort,
  RankState,
} from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";

const RANKS = 4;
const PLANNER = 0;
const HOLDER = 1;
const ENGINE = {
  slots: 8,
  stepsPerPass: 6,
  expertSets: 1,
  experts: 8,
  slotsPerRank: 3,
  maximumNewExperts: 1,
  expertCopyMs: 400,
};
/** The first expert is wanted far more than the others. */
const COUNTS = [40_000, 1000, 1000, 1000, 1000, 1000, 1000, 1000];
/** Demand has turned to the last one. */
const TURNED_COUNTS = COUNTS.toReversed();

const LOOK = { withCounts: false, withExperts: false };

/** Called once an engine has taken or refused an order, before its answer. */
type OrderWatch = (
  rank: number,
  order: RankOrder,
  fence: OrderFence,
) => void | Promise<void>;

class Group {
  readonly engines = HeldEngines.create(RANKS, createRandom(1));
  readonly ordered: { readonly rank: number; readonly kind: string }[] = [];
  /** Versions that ranks were told to prepare. */
  readonly versions: number[] = [];
  private readonly runs = SwitchRuns.create();
  /** Ranks that don't answer any more. */
  readonly silent = new Set<number>();
  counts: readonly number[] = COUNTS;
  onOrder: OrderWatch = () => undefined;

  readonly ranks: readonly GroupRank[] = Array.from(
    { length: RANKS },
    (_, rank) => this.rankOf(rank),
  );

  planner = this.createPlanner();

  constructor() {
    this.engines.calm();
  }

  /** In the same process and generation of the seat, knowing no map. */
  createPlanner(group = "g"): GroupPlanner {
    return GroupPlanner.create({
      seat: { generation: 1, giveUp: () => undefined },
      runs: this.runs,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      pace: { look: () => undefined },
      engine: ENGINE,
      group,
      epoch: this.engines.epoch,
      holder: HOLDER,
    });
  }

  async play(steps: number): Promise<void> {
    for (let step = 0; step < steps; step += 1) {
      await this.planner.step(this.ranks);
      this.engines.pass();
    }
  }

  kindsAt(rank: number): readonly string[] {
    return this.ordered
      .filter((one) => one.rank === rank)
      .map(({ kind }) => kind);
  }

  /** Makes passes, up to a held one. */
  passUntilHeld(): void {
    for (let pass = 0; pass < 10; pass += 1) this.engines.pass();
  }

  /** The rank starts again, and somebody in this process has seen it. */
  async startAgain(rank: number): Promise<void> {
    this.engines.startAgain(rank);
    await this.ranks[rank].observe(LOOK);
  }

  private rankOf(rank: number): GroupRank {
    const order = (ordered: RankOrder, fence: OrderFence) =>
      this.take(rank, ordered, fence);
    const experts = [[rank, rank + RANKS]];
    const observe = (): RankState => {
      if (this.silent.has(rank)) return raise(1607);
      return this.engines.states()[rank];
    };
    const runner: RankPort = {
      observe: () => Promise.resolve().then(observe),
      counts: () => Promise.reject(failure(1607)),
      experts: () => Promise.resolve({ experts, startedAtMs: undefined }),
      order,
    };
    const agent: AgentRank = {
      observe: async () => {
        const state = await runner.observe();
        const counts = rank === 0 ? this.counts : [];
        return { state, counts, countedMs: 250, experts };
      },
      order,
      guard: () => Promise.resolve(),
    };
    const address = `10.0.0.${rank}:1`;
    return createReachableRank({
      address,
      agent,
      runner,
      now: () => 0,
      members: () => [],
    });
  }

  private async take(
    rank: number,
    order: RankOrder,
    fence: OrderFence,
  ): Promise<OrderResult> {
    if (this.silent.has(rank)) return raise(1607);
    this.ordered.push({ rank, kind: order.kind });
    if (order.kind === "prepare") this.versions.push(order.version);
    const { startedAtMs } = this.engines.stateOf(rank);
    this.engines.send(rank, order, fence);
    const isTaken = this.engines.deliver().some((one) => one.rank === rank);
    await this.onOrder(rank, order, fence);
    return isTaken
      ? { kind: "accepted", isDone: true, startedAtMs }
      : { kind: "refused", status: 409, startedAtMs };
  }
}

async function errorOf(work: Promise<unknown>): Promise<unknown> {
  return work.catch((error: unknown) => error);
}

describe("planner of a group", () => {
  it("arms its own rank after all others, under a held step", async () => {
    const group = new Group();
    await group.play(4);
    group.passUntilHeld();
    const arms = group.ordered.filter(({ kind }) => kind === "arm");
    assert.is(arms.length, RANKS);
    assert.is(arms.at(0)?.rank, HOLDER);
    assert.is(arms.at(-1)?.rank, PLANNER);
    assert.equal(group.kindsAt(HOLDER).slice(0, 4), [
      "prepare",
      "hold",
      "arm",
      "release",
    ]);
    assert.is(group.engines.history.mixedPasses, 0);
    assert.ok(group.engines.states().every(({ mapVersion }) => mapVersion > 0));
  });

  it("arms nobody when a rank falls silent after the hold", async () => {
    // The VM of a rank stands still right after the hold. Armed or not, nobody
    // could tell, so no rank is armed; the holder's agent lets the step go.
    const group = new Group();
    group.onOrder = (_, { kind }) => {
      if (kind === "hold") group.silent.add(3);
    };
    await group.play(1);
    const failed = await errorOf(group.planner.step(group.ranks));
    assert.ok(failed instanceof Error);
    assert.equal(group.kindsAt(HOLDER), ["prepare", "hold"]);
    assert.not.ok(group.ordered.some(({ kind }) => kind === "arm"));
  });

  it("goes on with its versions after a rank was out of reach", async () => {
    // A rank is behind a cut for a second. The planner is made anew, under the
    // same seat, and the ranks have had its versions: counted from one again,
    // one map after the other is refused while the streams are late. And one
    // version may not stand for two maps.
    const group = new Group();
    await group.play(14);
    const [first] = group.versions;
    assert.is(group.engines.states()[0].mapVersion, first);
    group.silent.add(2);
    const failed = await group.planner
      .step(group.ranks)
      .catch((error: unknown) => error);
    assert.ok(failed instanceof Error);
    group.silent.delete(2);
    group.versions.length = 0;
    group.planner = group.createPlanner();
    await group.play(14);
    assert.ok(group.versions.length > 0);
    assert.ok(group.versions.every((version) => version > first));
    assert.ok(
      group.engines.states().every(({ mapVersion }) => mapVersion > first),
    );
  });

  it("uses no version for two maps when it begins anew", async () => {
    // A rank is out of reach for a moment while the others prepare. The planner
    // begins anew, demand has turned, and it makes another map. Under the same
    // version some ranks would hold the first map and some the second, and
    // none of them could tell.
    const group = new Group();
    const prepared: Extract<RankOrder, { kind: "prepare" }>[] = [];
    group.onOrder = (_, order) => {
      if (order.kind === "prepare") prepared.push(order);
      group.silent.add(3);
    };
    await group.planner.step(group.ranks);
    group.silent.clear();
    group.counts = TURNED_COUNTS;
    await group.createPlanner().step(group.ranks);
    const mapsOf = new Map<number, Set<string>>();
    for (const { version, sets } of prepared) {
      const maps = mapsOf.get(version) ?? new Set();
      mapsOf.set(version, maps.add(JSON.stringify(sets)));
    }
    const most = Math.max(...[...mapsOf.values()].map(({ size }) => size));
    assert.ok(mapsOf.size > 0);
    assert.is(most, 1, "maps under one version");
  });

  it("looks again between calling a switch off and letting the step go", async () => {
    // A step is held that the ranks can't all be armed for. While the orders
    // that call the switch off are under way, an earlier arm is carried out at
    // one rank, just before the order that would have made it void. Let go now,
    // the step would begin with this rank alone on the new map.
    const group = new Group();
    const { engines } = group;
    const fence = { epoch: 1, fencing: 2 };
    for (const [rank, version] of [5, 5, 5, 6].entries()) {
      engines.send(rank, { kind: "prepare", version, sets: [] }, fence);
    }
    engines.send(HOLDER, { kind: "hold", step: 3 }, fence);
    engines.deliver();
    group.onOrder = (rank) => {
      if (rank !== 0) return;
      engines.send(2, { kind: "arm", version: 5, step: 3 }, fence);
      engines.deliver();
    };
    for (let step = 0; step < 4; step += 1) {
      await group.planner.step(group.ranks);
      for (let pass = 0; pass < 4; pass += 1) engines.pass();
    }
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.history.passes > 2);
  });

  it("lets no late release of a call-off through in the next switch", async () => {
    // A step is held with nothing prepared, and the planner lets it go. The
    // group makes hardly any steps. The release of before is carried out once
    // more, when one rank is armed for the next switch: had that one held the
    // same step, it would begin with this rank alone on the new map.
    const group = new Group();
    const { engines } = group;
    engines.send(HOLDER, { kind: "hold", step: 4 }, { epoch: 1, fencing: 2 });
    engines.deliver();
    const released = new Set<number>();
    group.onOrder = (_, order, fence) => {
      if (order.kind === "release") released.add(order.step);
      if (order.kind !== "arm") return;
      for (const step of released) {
        engines.send(HOLDER, { kind: "release", step }, fence);
      }
      engines.deliver();
      group.passUntilHeld();
    };
    await group.play(8);
    group.passUntilHeld();
    assert.ok(group.ordered.some(({ kind }) => kind === "arm"));
    assert.ok(engines.history.switches > 0);
    assert.is(engines.history.mixedPasses, 0);
  });

  describe("that goes on from where an earlier planner was", () => {
    const EARLIER = { epoch: 1, fencing: 2 };
    const VERSION = 4;

    /** Prepared and held; `armed` are the ranks that are armed. */
    function begun(
      armed: readonly number[],
      versions: readonly number[] = [VERSION, VERSION, VERSION, VERSION],
    ): Group {
      const group = new Group();
      const { engines } = group;
      for (const [rank, version] of versions.entries()) {
        engines.send(rank, { kind: "prepare", version, sets: [] }, EARLIER);
      }
      engines.send(HOLDER, { kind: "hold", step: 3 }, EARLIER);
      for (const rank of armed) carryOutLate(group, rank, ARM);
      engines.deliver();
      return group;
    }

    const ARM = { kind: "arm", version: VERSION, step: 3 } as const;

    /** An order of the earlier planner is carried out only now. */
    function carryOutLate(group: Group, rank: number, order: RankOrder): void {
      group.engines.send(rank, order, EARLIER);
      group.engines.deliver();
    }

    async function finish(group: Group): Promise<void> {
      for (let step = 0; step < 7; step += 1) {
        await group.planner.step(group.ranks);
        group.passUntilHeld();
      }
    }

    it("lets the step of an unarmed holder go, which refuses a late arm", async () => {
      // The earlier planner isn't gone: it arms the holder late, at any moment
      // of the call-off. Armed after the step was let go, it would begin with
      // this rank alone on the new map.
      const group = begun([]);
      let lateArms = 0;
      group.onOrder = (rank) => {
        if (rank !== HOLDER || lateArms > 2) return;
        lateArms += 1;
        carryOutLate(group, HOLDER, ARM);
        group.passUntilHeld();
      };
      await finish(group);
      assert.equal(group.kindsAt(HOLDER).slice(0, 2), ["prepare", "release"]);
      assert.ok(lateArms > 0);
      assert.is(group.engines.history.mixedPasses, 0);
      assert.ok(group.engines.history.passes > 3);
    });

    it("finishes what it had armed, beside it", async () => {
      // Its arms are carried out late, also for ranks that are armed by now.
      const group = begun([HOLDER]);
      group.onOrder = () => {
        for (const rank of [2, 3]) carryOutLate(group, rank, ARM);
        group.passUntilHeld();
      };
      await finish(group);
      const { switches, mixedPasses } = group.engines.history;
      assert.is(mixedPasses, 0);
      assert.ok(switches > 0);
    });

    it("calls the switch off with the holder last", async () => {
      // One rank has been told of another map, so the step can't be used. An
      // unarmed holder tells everybody that nobody else is armed: disarmed
      // first, its step would be let go while another rank is armed.
      const group = begun([HOLDER, 2], [VERSION, VERSION, VERSION, 6]);
      const before: (readonly (number | undefined)[])[] = [];
      group.onOrder = (rank, { kind }) => {
        carryOutLate(group, 0, ARM);
        if (rank === HOLDER && kind === "disarm") {
          const states = group.engines.states();
          before.push(states.map(({ armed }) => armed?.version));
        }
        group.passUntilHeld();
      };
      await finish(group);
      assert.equal(before[0], [undefined, undefined, undefined, undefined]);
      assert.is(group.engines.history.mixedPasses, 0);
      assert.ok(group.engines.history.passes > 3);
    });
  });

  describe("when a rank starts again", () => {
    it("takes no answer of its earlier life for an armed rank", async () => {
      // The rank takes its arm and starts again, which is seen, and only then
      // its answer arrives: done. Let go now, the step would begin with this
      // rank on the first map and all others on the new one.
      const group = new Group();
      const { engines } = group;
      group.onOrder = async (rank, { kind }) => {
        if (kind === "hold") group.passUntilHeld();
        if (kind !== "arm" || rank !== 3) return;
        group.onOrder = () => undefined;
        await group.startAgain(3);
      };
      for (let step = 0; step < 6; step += 1) {
        await group.planner.step(group.ranks);
        group.passUntilHeld();
      }
      assert.is(engines.history.mixedPasses, 0);
      assert.ok(engines.history.passes > 4);
    });

    it("lets no step go once another look has shown it", async () => {
      // All ranks have confirmed their arms. Before the release, a look by
      // somebody else in this process shows that one has started again.
      const group = new Group();
      const { engines } = group;
      group.onOrder = async (rank, { kind }) => {
        if (kind === "hold") group.passUntilHeld();
        if (kind !== "arm" || rank !== PLANNER) return;
        group.onOrder = () => undefined;
        await group.startAgain(3);
      };
      for (let step = 0; step < 6; step += 1) {
        await group.planner.step(group.ranks);
        group.passUntilHeld();
      }
      assert.is(engines.history.mixedPasses, 0);
      assert.ok(engines.history.passes > 4);
    });

    it("arms nobody when it was the holder, after its hold", async () => {
      const group = new Group();
      group.onOrder = async (_, { kind }) => {
        if (kind === "hold") await group.startAgain(HOLDER);
      };
      await group.planner.step(group.ranks);
      await group.planner.step(group.ranks);
      assert.not.ok(group.ordered.some(({ kind }) => kind === "arm"));
    });

    it("lets the holder's new life prepare before anything is held again", async () => {
      const group = new Group();
      group.onOrder = async (_, { kind }) => {
        if (kind !== "hold") return;
        group.onOrder = () => undefined;
        await group.startAgain(HOLDER);
      };
      for (let step = 0; step < 6; step += 1) {
        await group.play(1);
        await pause(COUNT_INTERVAL_MS / 2, new AbortController().signal);
      }
      const kinds = group.kindsAt(HOLDER);
      assert.equal(kinds.slice(0, 4), ["prepare", "hold", "prepare", "hold"]);
      assert.is(group.engines.history.mixedPasses, 0);
    });

    it("plans nothing from the map that the ranks of before held", async () => {
      // One of them has just started and holds the first map. A plan that was
      // made from the map of before would have it copy more than it may.
      const group = new Group();
      await group.planner.step(group.ranks);
      const before = group.ordered.length;
      await group.startAgain(3);
      await group.planner.step(group.ranks);
      assert.equal(group.ordered.slice(before), []);
    });

    for (const kind of ["prepare", "hold", "arm", "release"] as const) {
      it(`forms a new switch in the new epoch, broken at ${kind}`, async () => {
        // The group breaks, and forms anew with the first map. Nothing that was
        // prepared, held or armed before may count.
        const group = new Group();
        const { engines } = group;
        let isBroken = false;
        group.onOrder = (rank, order) => {
          if (isBroken || order.kind !== kind) return;
          isBroken = true;
          engines.restart(kind === "release" ? 3 : rank);
        };
        for (let step = 0; step < 3; step += 1) {
          await errorOf(group.play(1));
        }
        assert.ok(isBroken);
        assert.ok(
          (await errorOf(group.planner.step(group.ranks))) instanceof Error,
        );
        engines.form();
        const before = group.ordered.length;
        const next = group.createPlanner();
        for (let step = 0; step < 6; step += 1) {
          await next.step(group.ranks);
          for (let pass = 0; pass < 5; pass += 1) engines.pass();
        }
        const again = group.ordered.slice(before, before + RANKS);
        assert.ok(again.every((one) => one.kind === "prepare"));
        assert.is(engines.history.mixedPasses, 0);
        assert.ok(engines.states().every(({ mapVersion }) => mapVersion > 0));
      });
    }

    it("orders nothing in another group than that of its seat", async () => {
      // The planner's own runner has come back in another group, which has a
      // planner with a seat of its own. Fencing numbers of two seats say nothing
      // about each other, and ranks could be armed by both.
      const group = new Group();
      const planner = group.createPlanner("another");
      assert.ok((await errorOf(planner.step(group.ranks))) instanceof Error);
      assert.equal(group.ordered, []);
    });

    it("orders nothing in an epoch whose ranks it hasn't numbered", async () => {
      // The planner's own rank starts again, and in the new epoch the ranks are
      // numbered anew. By the old numbers another rank would be armed last than
      // the planner's own, and the guard relies on that.
      const group = new Group();
      const { engines } = group;
      await group.planner.step(group.ranks);
      engines.restart(PLANNER);
      engines.form();
      const before = group.ordered.length;
      const error = await errorOf(group.planner.step(group.ranks));
      assert.ok(error instanceof Error);
      assert.is(group.ordered.length, before);
    });
  });
});
