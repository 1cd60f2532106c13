import * as assert from "uvu/assert";
import { createRandom, failure } from "../../src/internal.js";
import { GroupMembers } from "../../src/rankmaps/group-members.js";
import { outcomeWithin } from "../support/outcome.js";
import { describe, it } from "../support/describe.js";
import { SimulatedEngines } from "./simulated-engines.js";
import type { GroupRank } from "../../src/rankmaps/types.js";

const RANKS = 2;
const OUTCOME_TIMEOUT_MS = 1000;

function rankAt(address: string): GroupRank {
  return {
    address,
    observe: () => Promise.reject(failure(1607)),
    order: () => Promise.reject(failure(1607)),
    hold: () => Promise.reject(failure(1607)),
    isSuperseded: () => false,
  };
}

class MembersFixture {
  readonly engines = SimulatedEngines.create(RANKS, createRandom(1));
  addresses = ["10.0.0.0:1", "10.0.0.1:1"];
  isStoreUnreachable = false;
  searches = 0;
  failures = 0;

  readonly group = GroupMembers.create({
    observeOwn: () => Promise.resolve(this.engines.stateOf(0)),
    discover: () => {
      this.searches += 1;
      if (this.isStoreUnreachable) return Promise.reject(failure(1901));
      return Promise.resolve(this.addresses.map(rankAt));
    },
    rankAt,
    onFailure: () => {
      this.failures += 1;
    },
  });

  async read(): Promise<readonly string[]> {
    const ranks = await this.group.read();
    return ranks.map(({ address }) => address);
  }
}

describe("ranks of the own group", () => {
  it("are searched once while nothing changes", async () => {
    const site = new MembersFixture();
    await site.read();
    await site.read();
    assert.equal(await site.read(), site.addresses);
    assert.is(site.searches, 1);
  });

  it("are searched again in a new epoch", async () => {
    // A rank restarts at another address. The agent of the rank that holds a
    // step doesn't plan, so no failed observation has told it. With the old
    // address it couldn't complete a switch whose planner dies.
    const site = new MembersFixture();
    await site.read();
    site.engines.restartAndBreakGroup(1);
    site.engines.reformGroup();
    site.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
    assert.equal(await site.read(), site.addresses);
  });

  it("are searched again after one was unreachable", async () => {
    const site = new MembersFixture();
    await site.read();
    site.group.markStale();
    await site.read();
    assert.is(site.searches, 2);
  });

  it("stay the known ones while the store is unreachable", async () => {
    const site = new MembersFixture();
    await site.read();
    site.engines.restartAndBreakGroup(1);
    site.engines.reformGroup();
    site.isStoreUnreachable = true;
    assert.equal(await site.read(), site.addresses);
    assert.is(site.failures, 1);
  });

  it("are searched once while the store is unreachable, then in the next round", async () => {
    // The agent of the rank that holds a step reads its group every 25 ms. A
    // failing call to the store each time would keep the step held.
    const site = new MembersFixture();
    await site.read();
    site.engines.restartAndBreakGroup(1);
    site.engines.reformGroup();
    site.isStoreUnreachable = true;
    await site.read();
    await site.read();
    assert.is(site.searches, 2);
    site.isStoreUnreachable = false;
    site.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
    site.group.markStale();
    assert.equal(await site.read(), site.addresses);
  });

  it("are searched again once the store is reachable", async () => {
    const site = new MembersFixture();
    site.isStoreUnreachable = true;
    assert.is(await outcomeWithin(site.read(), OUTCOME_TIMEOUT_MS), "failed");
    site.isStoreUnreachable = false;
    assert.equal(await site.read(), site.addresses);
  });

  describe("announced by the planner", () => {
    it("aren't searched in the epoch of the announcement", async () => {
      // The planner is gone and the store is unreachable. Without the announced
      // members, the agent of the rank that holds a step couldn't resolve it.
      const site = new MembersFixture();
      site.isStoreUnreachable = true;
      site.group.announce(site.engines.epoch, site.addresses);
      assert.equal(await site.read(), site.addresses);
      assert.is(site.searches, 0);
    });

    it("are searched in a later epoch", async () => {
      // A rank is at another address by then.
      const site = new MembersFixture();
      site.group.announce(site.engines.epoch, site.addresses);
      site.engines.restartAndBreakGroup(1);
      site.engines.reformGroup();
      site.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
      assert.equal(await site.read(), site.addresses);
      assert.is(site.searches, 1);
    });

    it("stay as announced when an order of an earlier epoch arrives late", async () => {
      const site = new MembersFixture();
      site.isStoreUnreachable = true;
      site.group.announce(site.engines.epoch, site.addresses);
      site.group.announce(site.engines.epoch - 1, ["10.0.0.0:1", "10.0.0.9:1"]);
      assert.equal(await site.read(), site.addresses);
    });

    it("are searched when one of them is unreachable", async () => {
      const site = new MembersFixture();
      site.group.announce(site.engines.epoch, site.addresses);
      await site.read();
      site.group.markStale();
      await site.read();
      assert.is(site.searches, 1);
    });
  });
});
