import * as assert from "uvu/assert";
import { createRandom, failure } from "../../src/internal.js";
import { KnownGroup } from "../../src/rankmaps/known-group.js";
import { outcomeWithin } from "../support/outcome.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";
import type { GroupRank } from "../../src/rankmaps/types.js";

const RANKS = 2;
const SOON_MS = 1000;

function rankAt(address: string): GroupRank {
  return {
    address,
    observe: () => Promise.reject(failure(1607)),
    order: () => Promise.reject(failure(1607)),
    hold: () => Promise.reject(failure(1607)),
    isOver: () => false,
  };
}

class Site {
  readonly engines = HeldEngines.create(RANKS, createRandom(1));
  addresses = ["10.0.0.0:1", "10.0.0.1:1"];
  isStoreAway = false;
  searches = 0;
  failures = 0;

  readonly group = KnownGroup.create({
    observeOwn: () => Promise.resolve(this.engines.stateOf(0)),
    find: () => {
      this.searches += 1;
      if (this.isStoreAway) return Promise.reject(failure(1901));
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
  it("are looked for once while nothing changes", async () => {
    const site = new Site();
    await site.read();
    await site.read();
    assert.equal(await site.read(), site.addresses);
    assert.is(site.searches, 1);
  });

  it("are looked for again in a new epoch", async () => {
    // A rank starts again at another address. The agent of the rank that holds
    // a step plans nothing, so no failed look has told it. By the address of
    // before, it could not finish a switch whose planner dies.
    const site = new Site();
    await site.read();
    site.engines.restart(1);
    site.engines.form();
    site.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
    assert.equal(await site.read(), site.addresses);
  });

  it("are looked for again once one was out of reach", async () => {
    const site = new Site();
    await site.read();
    site.group.markStale();
    await site.read();
    assert.is(site.searches, 2);
  });

  it("stay as they are known while the store is away", async () => {
    const site = new Site();
    await site.read();
    site.engines.restart(1);
    site.engines.form();
    site.isStoreAway = true;
    assert.equal(await site.read(), site.addresses);
    assert.is(site.failures, 1);
  });

  it("are looked for once at a store that is away, then on the next round", async () => {
    // The agent of the rank that holds a step looks at its group each 25 ms. A
    // call to the store that comes to nothing each time would keep the step held.
    const site = new Site();
    await site.read();
    site.engines.restart(1);
    site.engines.form();
    site.isStoreAway = true;
    await site.read();
    await site.read();
    assert.is(site.searches, 2);
    site.isStoreAway = false;
    site.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
    site.group.markStale();
    assert.equal(await site.read(), site.addresses);
  });

  it("are looked for again after the store's return", async () => {
    const site = new Site();
    site.isStoreAway = true;
    assert.is(await outcomeWithin(site.read(), SOON_MS), "failed");
    site.isStoreAway = false;
    assert.equal(await site.read(), site.addresses);
  });

  describe("told by the planner", () => {
    it("aren't looked for in the epoch that they were told for", async () => {
      // The planner is gone and the store is away: without what it said, the
      // agent of the rank that holds a step couldn't end it.
      const site = new Site();
      site.isStoreAway = true;
      site.group.tell(site.engines.epoch, site.addresses);
      assert.equal(await site.read(), site.addresses);
      assert.is(site.searches, 0);
    });

    it("are looked for in a later epoch", async () => {
      // A rank is at another address by then.
      const site = new Site();
      site.group.tell(site.engines.epoch, site.addresses);
      site.engines.restart(1);
      site.engines.form();
      site.addresses = ["10.0.0.0:1", "10.0.0.9:1"];
      assert.equal(await site.read(), site.addresses);
      assert.is(site.searches, 1);
    });

    it("stay as told when an order of an earlier epoch comes late", async () => {
      const site = new Site();
      site.isStoreAway = true;
      site.group.tell(site.engines.epoch, site.addresses);
      site.group.tell(site.engines.epoch - 1, ["10.0.0.0:1", "10.0.0.9:1"]);
      assert.equal(await site.read(), site.addresses);
    });

    it("are looked for when one of them is out of reach", async () => {
      const site = new Site();
      site.group.tell(site.engines.epoch, site.addresses);
      await site.read();
      site.group.markStale();
      await site.read();
      assert.is(site.searches, 1);
    });
  });
});
