import * as assert from "uvu/assert";
import { failure } from "../../src/internal.js";
import { RankAgent } from "../../src/rankmaps/rank-agent.js";
import { RelayedMaps } from "../../src/rankmaps/relayed-maps.js";
import type { HeldExperts, RankCounts } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { RANK_STATE } from "./rank-state.js";

const OBSERVE_REQUEST = { withCounts: true, withExperts: false };

/**
 * Counts of one incarnation; the start is undefined where the runner doesn't
 * report it.
 */
function countsOf(
  startedAtMs: number | undefined,
  counts: readonly number[],
  epoch = 1,
): RankCounts {
  return { epoch, counts, startedAtMs };
}

/** A runner, and the agent that reads it. */
class AgentFixture {
  counted = countsOf(undefined, []);
  state = RANK_STATE;
  announced: unknown;
  held: HeldExperts = { experts: [], startedAtMs: undefined };

  readonly agent = RankAgent.create({
    port: {
      observe: () => Promise.resolve(this.state),
      counts: () => Promise.resolve(this.counted),
      experts: () => Promise.resolve(this.held),
      order: () => Promise.reject(failure(1607)),
    },
    maps: RelayedMaps.create(),
    onObserved: () => undefined,
    onMembers: (epoch, members) => {
      this.announced = { epoch, members };
    },
    onHold: () => undefined,
  });

  async read(counted: RankCounts): Promise<readonly number[]> {
    this.counted = counted;
    const { counts } = await this.agent.observe(OBSERVE_REQUEST);
    return counts;
  }
}

describe("agent beside a rank", () => {
  describe("counts since the last read", () => {
    it("are the differences", async () => {
      const fixture = new AgentFixture();
      await fixture.read(countsOf(1000, [100, 50]));
      const added = await fixture.read(countsOf(1000, [130, 50]));
      assert.equal(added, [30, 0]);
    });

    it("are empty at the agent's first read", async () => {
      // The agent restarts beside a runner that has counted for hours. The
      // cumulative counts would be mistaken for current demand, and the next
      // map would be planned for demand of the past.
      const fixture = new AgentFixture();
      assert.equal(await fixture.read(countsOf(1000, [90_000, 50])), []);
    });

    it("continue in a new epoch of the same incarnation", async () => {
      // Another rank restarts and the group is formed again, while this rank
      // has kept counting. Its cumulative counts aren't the current demand.
      const fixture = new AgentFixture();
      await fixture.read(countsOf(1000, [90_000, 50]));
      const added = await fixture.read(countsOf(1000, [90_010, 55], 2));
      assert.equal(added, [10, 5]);
    });

    for (const [name, counts] of [
      ["lower", [20, 10]],
      ["higher", [5000, 7000]],
      ["in part lower", [20, 7000]],
    ] as const) {
      it(`are empty when a later incarnation's counts are ${name}`, async () => {
        const fixture = new AgentFixture();
        await fixture.read(countsOf(1000, [100, 50]));
        assert.equal(await fixture.read(countsOf(2000, counts)), []);
        const next = counts.map((count) => count + 3);
        assert.equal(await fixture.read(countsOf(2000, next)), [3, 3]);
      });
    }

    it("ignore late counts of an earlier incarnation", async () => {
      const fixture = new AgentFixture();
      await fixture.read(countsOf(2000, [100, 50]));
      assert.equal(await fixture.read(countsOf(1000, [9000, 9000])), []);
      assert.equal(await fixture.read(countsOf(2000, [101, 50])), [1, 0]);
    });

    it("are empty when later counts arrived first", async () => {
      const fixture = new AgentFixture();
      await fixture.read(countsOf(1000, [100, 50]));
      await fixture.read(countsOf(1000, [120, 60]));
      assert.equal(await fixture.read(countsOf(1000, [110, 55])), []);
      assert.equal(await fixture.read(countsOf(1000, [121, 60])), [1, 0]);
    });

    describe("without a known start", () => {
      it("are empty after a counter has decreased, also for higher counters", async () => {
        const fixture = new AgentFixture();
        await fixture.read(countsOf(undefined, [100, 50]));
        const started = await fixture.read(countsOf(undefined, [20, 60]));
        assert.equal(started, []);
        const added = await fixture.read(countsOf(undefined, [25, 60]));
        assert.equal(added, [5, 0]);
      });

      it("are empty in a new epoch", async () => {
        const fixture = new AgentFixture();
        await fixture.read(countsOf(undefined, [100, 50]));
        const started = await fixture.read(countsOf(undefined, [900, 90], 2));
        assert.equal(started, []);
      });
    });
  });

  it("omits the experts of another incarnation than the state's", async () => {
    // The runner restarts between the two responses. The first map with the
    // version of a later one would be mistaken for the map of the whole group.
    const fixture = new AgentFixture();
    const experts = [[0, 4]];
    const request = { withCounts: false, withExperts: true };
    fixture.state = { ...RANK_STATE, mapVersion: 5, startedAtMs: 1000 };
    fixture.held = { experts, startedAtMs: 2000 };
    assert.equal((await fixture.agent.observe(request)).experts, []);
    fixture.state = { ...RANK_STATE, startedAtMs: 2000 };
    assert.equal((await fixture.agent.observe(request)).experts, experts);
  });
});
