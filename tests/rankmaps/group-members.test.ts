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

describe("ranks of an agent's group", () => {
  it("are searched once while nothing changes", async () => {
    const fixture = new MembersFixture();
    await fixture.read();
    await fixture.read();
    assert.equal(await fixture.read(), fixture.addresses);
    assert.is(fixture.searches, 1);
  });

  it("are searched again in a new epoch", async () => {
    // A rank restarts at another address. The agent of the rank that holds a
    // step doesn't plan, so no failed observation has shown it the restart.
    // With the old address it couldn't complete a switch whose planner dies.
    const fixture = new MembersFixture();
    await fixture.read();
    fixture.engines.restartAndBreakGroup(1);
    fixture.engines.reformGroup();
    fixture.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
    assert.equal(await fixture.read(), fixture.addresses);
  });

  it("are searched again after one was unreachable", async () => {
    const fixture = new MembersFixture();
    await fixture.read();
    fixture.group.markStale();
    await fixture.read();
    assert.is(fixture.searches, 2);
  });

  it("stay the known ones while the store is unreachable", async () => {
    const fixture = new MembersFixture();
    await fixture.read();
    fixture.engines.restartAndBreakGroup(1);
    fixture.engines.reformGroup();
    fixture.isStoreUnreachable = true;
    assert.equal(await fixture.read(), fixture.addresses);
    assert.is(fixture.failures, 1);
  });

  it("are searched once while the store is unreachable, then in the next round", async () => {
    // The agent of the rank that holds a step reads its group every 25 ms. A
    // failing call to the store each time would keep the step held.
    const fixture = new MembersFixture();
    await fixture.read();
    fixture.engines.restartAndBreakGroup(1);
    fixture.engines.reformGroup();
    fixture.isStoreUnreachable = true;
    await fixture.read();
    await fixture.read();
    assert.is(fixture.searches, 2);
    fixture.isStoreUnreachable = false;
    fixture.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
    fixture.group.markStale();
    assert.equal(await fixture.read(), fixture.addresses);
  });

  it("are searched again once the store is reachable", async () => {
    const fixture = new MembersFixture();
    fixture.isStoreUnreachable = true;
    assert.is(
      await outcomeWithin(fixture.read(), OUTCOME_TIMEOUT_MS),
      "failed",
    );
    fixture.isStoreUnreachable = false;
    assert.equal(await fixture.read(), fixture.addresses);
  });

  describe("announced by the planner", () => {
    it("aren't searched in the epoch of the announcement", async () => {
      // The planner is gone and the store is unreachable. Without the announced
      // members, the agent of the rank that holds a step couldn't resolve it.
      const fixture = new MembersFixture();
      fixture.isStoreUnreachable = true;
      fixture.group.announce(fixture.engines.epoch, fixture.addresses);
      assert.equal(await fixture.read(), fixture.addresses);
      assert.is(fixture.searches, 0);
    });

    it("are searched in a later epoch", async () => {
      // A rank is at another address by then.
      const fixture = new MembersFixture();
      fixture.group.announce(fixture.engines.epoch, fixture.addresses);
      fixture.engines.restartAndBreakGroup(1);
      fixture.engines.reformGroup();
      fixture.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
      assert.equal(await fixture.read(), fixture.addresses);
      assert.is(fixture.searches, 1);
    });

    it("stay as announced when an order of an earlier epoch arrives late", async () => {
      const fixture = new MembersFixture();
      fixture.isStoreUnreachable = true;
      fixture.group.announce(fixture.engines.epoch, fixture.addresses);
      fixture.group.announce(fixture.engines.epoch - 1, [
        "10.0.0.0:1",
        "10.0.0.9:1",
      ]);
      assert.equal(await fixture.read(), fixture.addresses);
    });

    it("are searched when one of them is unreachable", async () => {
      const fixture = new MembersFixture();
      fixture.group.announce(fixture.engines.epoch, fixture.addresses);
      await fixture.read();
      fixture.group.markStale();
      await fixture.read();
      assert.is(fixture.searches, 1);
    });
  });
});
