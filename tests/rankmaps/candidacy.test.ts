import * as assert from "uvu/assert";
import {
  Candidacy,
  CANDIDATE_RANKS,
  UNOBSERVED_TIMEOUT_MS,
} from "../../src/rankmaps/candidacy.js";
import { describe, it } from "../support/describe.js";

const GROUP_SIZE = 64;

class AgentGroup {
  nowMs = 0;
  readonly agents = Array.from({ length: GROUP_SIZE }, () =>
    Candidacy.create(() => this.nowMs),
  );

  /** Agents that are candidates for the lease. */
  get candidateCount(): number {
    return this.agents.filter((agent, rank) => agent.isCandidate(rank)).length;
  }
}

describe("agents of a large group", () => {
  it("have only a few candidates while an agent plans", () => {
    // Without the limit, all 64 agents of each of three groups would call the
    // store twice a second for three leases.
    const group = new AgentGroup();
    assert.is(group.candidateCount, CANDIDATE_RANKS);
    for (let observation = 0; observation < 100; observation += 1) {
      group.nowMs += 250;
      for (const agent of group.agents) agent.onObserved();
    }
    assert.is(group.candidateCount, CANDIDATE_RANKS);
  });

  it("all become candidates when nobody observes their ranks", () => {
    // The VMs of the first ranks are cut off from the store while their runners
    // keep working. A planner is needed, and any agent can take over.
    const group = new AgentGroup();
    group.nowMs += UNOBSERVED_TIMEOUT_MS;
    assert.is(group.candidateCount, GROUP_SIZE);
  });
});
