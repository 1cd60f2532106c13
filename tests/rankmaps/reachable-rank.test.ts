import * as assert from "uvu/assert";
import { failure } from "../../src/internal.js";
import type { LifeStart } from "../../src/membership/life.js";
import {
  createReachableRank,
  type AgentRank,
} from "../../src/rankmaps/reachable-rank.js";
import type { RankPort, RankState } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { RANK_STATE } from "./rank-state.js";

const STATE: RankState = { ...RANK_STATE, heldStep: 9 };
const LOOK = { withCounts: true, withExperts: false };
const RELEASE = { kind: "release", step: 9 } as const;
const FENCE = { epoch: 1, fencing: 3 };
const ACCEPTED = {
  kind: "accepted",
  isDone: true,
  startedAtMs: undefined,
} as const;

class Rank {
  nowMs = 0;
  isAgentAlive = true;
  readonly asked: string[] = [];
  /** The life that each of them speaks for. */
  agentsLife: LifeStart = undefined;
  runnersLife: LifeStart = undefined;

  readonly reach = createReachableRank({
    address: "10.0.0.2:1",
    agent: this.agent,
    runner: this.runner,
    members: () => [],
    now: () => this.nowMs,
  });

  private get agent(): AgentRank {
    return {
      observe: () => {
        this.asked.push("agent");
        if (!this.isAgentAlive) return Promise.reject(failure(1607));
        const state = { ...STATE, startedAtMs: this.agentsLife };
        const observed = { state, counts: [5], countedMs: 250 };
        return Promise.resolve({ ...observed, experts: [] });
      },
      order: () => {
        this.asked.push("agent");
        if (!this.isAgentAlive) return Promise.reject(failure(1607));
        return Promise.resolve({ ...ACCEPTED, startedAtMs: this.agentsLife });
      },
      guard: () => {
        this.asked.push("guard");
        if (!this.isAgentAlive) return Promise.reject(failure(1607));
        return Promise.resolve();
      },
    };
  }

  private get runner(): RankPort {
    return {
      observe: () => {
        this.asked.push("runner");
        return Promise.resolve({ ...STATE, startedAtMs: this.runnersLife });
      },
      counts: () => Promise.reject(failure(1607)),
      experts: () => Promise.resolve({ experts: [], startedAtMs: undefined }),
      order: () => {
        this.asked.push("runner");
        return Promise.resolve({ ...ACCEPTED, startedAtMs: this.runnersLife });
      },
    };
  }
}

describe("rank by way of its agent", () => {
  it("is asked over the agent while that answers", async () => {
    const rank = new Rank();
    const { counts } = await rank.reach.observe(LOOK);
    assert.equal(counts, [5]);
    assert.equal(rank.asked, ["agent"]);
  });

  it("is told at its runner when the agent is dead, without counts", async () => {
    // The agent of the rank that holds a step is killed. The planner has to let
    // the step go all the same, or the whole group waits for its restart.
    const rank = new Rank();
    rank.isAgentAlive = false;
    const { state, counts } = await rank.reach.observe(LOOK);
    assert.is(state.heldStep, 9);
    assert.equal(counts, []);
    const result = await rank.reach.order(RELEASE, FENCE);
    assert.equal(result, ACCEPTED);
    // The second call doesn't wait for the silent agent again.
    assert.equal(rank.asked, ["agent", "runner", "runner"]);
  });

  it("holds a step only with its agent on watch", async () => {
    // The planner's VM may stand still right after the hold, and then the agent
    // at the holder lets the group go on. Without one nobody would.
    const rank = new Rank();
    const hold = {
      step: 9,
      fence: FENCE,
      planner: 0,
      startedAtMs: undefined,
    };
    await rank.reach.hold(hold);
    assert.equal(rank.asked, ["guard", "runner"]);
    rank.isAgentAlive = false;
    const error = await rank.reach
      .hold(hold)
      .catch((reason: unknown) => reason);
    assert.ok(error instanceof Error);
    assert.equal(rank.asked, ["guard", "runner", "guard"]);
  });

  it("is asked over the agent again after a while", async () => {
    const rank = new Rank();
    rank.isAgentAlive = false;
    await rank.reach.observe(LOOK);
    rank.isAgentAlive = true;
    rank.nowMs = 1000;
    const { counts } = await rank.reach.observe(LOOK);
    assert.equal(counts, [5]);
  });

  it("is asked again soon when its agent wasn't there yet", async () => {
    // All VMs restart, and the planner is up before the other agents: calls to
    // them fail at once. Until they are asked again there are no counts, and
    // the group runs on its first map.
    const rank = new Rank();
    rank.isAgentAlive = false;
    await rank.reach.observe(LOOK);
    rank.isAgentAlive = true;
    rank.nowMs = 100;
    const { counts } = await rank.reach.observe(LOOK);
    assert.equal(counts, [5]);
  });

  describe("whose runner has started again", () => {
    /** Both lives are known, the later one was seen first. */
    async function reborn(): Promise<Rank> {
      const rank = new Rank();
      rank.agentsLife = 2000;
      await rank.reach.observe(LOOK);
      rank.agentsLife = 1000;
      rank.runnersLife = 2000;
      rank.asked.length = 0;
      return rank;
    }

    it("isn't taken for what its earlier life's late report shows", async () => {
      const rank = await reborn();
      const { state } = await rank.reach.observe(LOOK);
      assert.is(state.startedAtMs, 2000);
      assert.equal(rank.asked, ["agent", "runner"]);
    });

    it("is out of reach while only its earlier life answers", async () => {
      const rank = await reborn();
      rank.runnersLife = 1000;
      assert.ok((await errorOf(rank.reach.observe(LOOK))) instanceof Error);
      assert.ok(
        (await errorOf(rank.reach.order(RELEASE, FENCE))) instanceof Error,
      );
    });

    it("is told again what only its earlier life has taken", async () => {
      // The answer says accepted and done. Taken for the present life's, the
      // rank would count as armed, and the step would begin without it.
      const rank = await reborn();
      const result = await rank.reach.order(RELEASE, FENCE);
      assert.is(result.startedAtMs, 2000);
      assert.equal(rank.asked, ["agent", "runner"]);
    });

    it("doesn't hold a step by its earlier life's answer", async () => {
      const rank = await reborn();
      rank.runnersLife = 1000;
      const hold = { step: 9, fence: FENCE, planner: 0, startedAtMs: 1000 };
      assert.ok((await errorOf(rank.reach.hold(hold))) instanceof Error);
    });

    it("is asked over its agent again at once", async () => {
      // The VM was restarted as a whole: the agent was as silent as the runner.
      const rank = new Rank();
      rank.isAgentAlive = false;
      rank.runnersLife = 1000;
      await rank.reach.observe(LOOK);
      rank.runnersLife = 2000;
      rank.agentsLife = 2000;
      rank.isAgentAlive = true;
      await rank.reach.observe(LOOK);
      rank.asked.length = 0;
      await rank.reach.observe(LOOK);
      assert.equal(rank.asked, ["agent"]);
    });

    it("is reached again when its clock was set back before its start", async () => {
      // The present life seems to be the earlier one. The other one is gone and
      // says nothing more; the rank must not be out of reach for good.
      const rank = await reborn();
      rank.runnersLife = 1000;
      rank.nowMs = 2900;
      assert.ok((await errorOf(rank.reach.observe(LOOK))) instanceof Error);
      rank.nowMs = 3000;
      const { state } = await rank.reach.observe(LOOK);
      assert.is(state.startedAtMs, 1000);
      assert.is(rank.reach.isOver(1000), false);
    });

    it("tells which life is over", async () => {
      const rank = await reborn();
      assert.is(rank.reach.isOver(1000), true);
      assert.is(rank.reach.isOver(2000), false);
      assert.is(rank.reach.isOver(undefined), false);
    });
  });
});

async function errorOf(work: Promise<unknown>): Promise<unknown> {
  return work.catch((error: unknown) => error);
}
