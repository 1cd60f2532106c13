import * as assert from "uvu/assert";
import { failure } from "../../src/internal.js";
import { RankAgent } from "../../src/rankmaps/rank-agent.js";
import { RelayedMaps } from "../../src/rankmaps/relayed-maps.js";
import type { HeldExperts, RankCounts } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { RANK_STATE } from "./rank-state.js";

const LOOK = { withCounts: true, withExperts: false };

/** Counts of one life; undefined where the runner doesn't tell it. */
function countsOf(
  startedAtMs: number | undefined,
  counts: readonly number[],
  epoch = 1,
): RankCounts {
  return { epoch, counts, startedAtMs };
}

/** A runner as its agent reads it. */
class Runner {
  counted = countsOf(undefined, []);
  state = RANK_STATE;
  told: unknown;
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
      this.told = { epoch, members };
    },
    onHold: () => undefined,
  });

  async read(counted: RankCounts): Promise<readonly number[]> {
    this.counted = counted;
    const { counts } = await this.agent.observe(LOOK);
    return counts;
  }
}

describe("agent beside a rank", () => {
  describe("counts since the last look", () => {
    it("are what was added", async () => {
      const runner = new Runner();
      await runner.read(countsOf(1000, [100, 50]));
      const added = await runner.read(countsOf(1000, [130, 50]));
      assert.equal(added, [30, 0]);
    });

    it("are none at the agent's first look", async () => {
      // The agent starts anew beside a runner that has counted for hours. All
      // of that would pass for the demand of one moment, and the next map would
      // be made for what is long over.
      const runner = new Runner();
      assert.equal(await runner.read(countsOf(1000, [90_000, 50])), []);
    });

    it("go on in a new epoch of the same life", async () => {
      // Another rank restarts and the group forms anew; this one has counted
      // all the time. Its counts as a whole aren't the demand of this moment.
      const runner = new Runner();
      await runner.read(countsOf(1000, [90_000, 50]));
      const added = await runner.read(countsOf(1000, [90_010, 55], 2));
      assert.equal(added, [10, 5]);
    });

    for (const [name, counts] of [
      ["lower", [20, 10]],
      ["higher", [5000, 7000]],
      ["in part lower", [20, 7000]],
    ] as const) {
      it(`are none when a later life's counts are ${name}`, async () => {
        const runner = new Runner();
        await runner.read(countsOf(1000, [100, 50]));
        assert.equal(await runner.read(countsOf(2000, counts)), []);
        const next = counts.map((count) => count + 3);
        assert.equal(await runner.read(countsOf(2000, next)), [3, 3]);
      });
    }

    it("are none when an earlier life's come late, which change nothing", async () => {
      const runner = new Runner();
      await runner.read(countsOf(2000, [100, 50]));
      assert.equal(await runner.read(countsOf(1000, [9000, 9000])), []);
      assert.equal(await runner.read(countsOf(2000, [101, 50])), [1, 0]);
    });

    it("are none when they were overtaken by later ones", async () => {
      const runner = new Runner();
      await runner.read(countsOf(1000, [100, 50]));
      await runner.read(countsOf(1000, [120, 60]));
      assert.equal(await runner.read(countsOf(1000, [110, 55])), []);
      assert.equal(await runner.read(countsOf(1000, [121, 60])), [1, 0]);
    });

    describe("where lives aren't told", () => {
      it("are none when they begin anew, the higher ones too", async () => {
        const runner = new Runner();
        await runner.read(countsOf(undefined, [100, 50]));
        const started = await runner.read(countsOf(undefined, [20, 60]));
        assert.equal(started, []);
        const added = await runner.read(countsOf(undefined, [25, 60]));
        assert.equal(added, [5, 0]);
      });

      it("are none in a new epoch", async () => {
        const runner = new Runner();
        await runner.read(countsOf(undefined, [100, 50]));
        const started = await runner.read(countsOf(undefined, [900, 90], 2));
        assert.equal(started, []);
      });
    });
  });

  it("leaves out the experts of another life than the state's", async () => {
    // The runner starts anew between the two answers. The first map with the
    // version of a later one would be taken for what the whole group runs on.
    const runner = new Runner();
    const experts = [[0, 4]];
    const look = { withCounts: false, withExperts: true };
    runner.state = { ...RANK_STATE, mapVersion: 5, startedAtMs: 1000 };
    runner.held = { experts, startedAtMs: 2000 };
    assert.equal((await runner.agent.observe(look)).experts, []);
    runner.state = { ...RANK_STATE, startedAtMs: 2000 };
    assert.equal((await runner.agent.observe(look)).experts, experts);
  });
});
