import * as assert from "uvu/assert";
import {
  Candidacy,
  STANDING_RANKS,
  UNOBSERVED_MS,
} from "../../src/rankmaps/candidacy.js";
import { describe, it } from "../support/describe.js";

const GROUP = 64;

class Site {
  nowMs = 0;
  readonly agents = Array.from({ length: GROUP }, () =>
    Candidacy.create(() => this.nowMs),
  );

  /** Agents that stand for the seat. */
  get standing(): number {
    return this.agents.filter((agent, rank) => agent.stands(rank)).length;
  }
}

describe("agents of a large group", () => {
  it("stand for its seat by a few while somebody plans", () => {
    // All 64 of three groups called the store twice a second for three seats.
    const site = new Site();
    assert.is(site.standing, STANDING_RANKS);
    for (let look = 0; look < 100; look += 1) {
      site.nowMs += 250;
      for (const agent of site.agents) agent.onObserved();
    }
    assert.is(site.standing, STANDING_RANKS);
  });

  it("stand by all when nobody looks at their ranks any more", () => {
    // The VMs of the first ranks are cut off from the store, and their runners
    // work on: a planner is needed, and any agent will do.
    const site = new Site();
    site.nowMs += UNOBSERVED_MS;
    assert.is(site.standing, GROUP);
  });
});
