import * as assert from "uvu/assert";
import { ApricotdeckError } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import { waitFor } from "../support/wait.js";
import { GroupSite } from "./group-site.js";

const PROPOSAL_TIMEOUT_MS = 8_000;
const options = {
  members: 3,
  bytesPerExpert: 4_096,
  storeBytesPerSecond: 10_000_000,
};

describe("expert maps over real sockets", () => {
  it("forms the group, switches the map and runs every step on one map", async () => {
    await using site = await GroupSite.create(options);
    await site.settled(1);
    const { maps } = site.agent("r0");
    const outcome = await maps.proposeMap(
      site.otherMap(1),
      PROPOSAL_TIMEOUT_MS,
    );
    assert.is(outcome, "committed");
    await site.settled(2);
    assert.equal(site.mixedSteps(), []);
    for (const agent of site.agents.values()) {
      assert.equal(agent.events(104), []);
      assert.equal(agent.events(164), [], "a normal switch holds no rank");
    }
  });

  // The store fails during a fetch. The proposal waits; once the store is back,
  // the fetch resumes from the staged bytes, and the map takes effect without
  // any byte fetched twice.
  it("resumes the weight fetch after a store outage", async () => {
    await using site = await GroupSite.create(options);
    await site.settled(1);
    const before = site.store.servedBytes();
    const { maps } = site.agent("r1");
    site.store.faults.partsBeforeOutage = 2;
    const proposing = maps.proposeMap(site.otherMap(1), PROPOSAL_TIMEOUT_MS);
    const failed = (): boolean =>
      [...site.agents.values()].some(({ events }) => events(165).length > 0);
    await Promise.race([proposing, waitFor(failed)]);
    assert.ok(failed());
    site.store.faults.outage = false;
    assert.is(await proposing, "committed");
    await site.settled(2);
    const moved = site.store.servedBytes() - before;
    assert.is(moved % options.bytesPerExpert, 0);
    assert.equal(site.mixedSteps(), []);
  });

  // The agent of one rank dies after a proposal was made and is replaced by one
  // that doesn't know of it. All members must reach the same outcome, and the
  // group must continue to step.
  it("decides a proposal although an agent is replaced during it", async () => {
    await using site = await GroupSite.create(options);
    await site.settled(1);
    const { maps } = site.agent("r0");
    const proposing = maps
      .proposeMap(site.otherMap(1), PROPOSAL_TIMEOUT_MS)
      .catch((error: unknown) => error);
    const voted = waitFor(() => site.agent("r2").events(161).length > 0);
    const early = await Promise.race([proposing, voted]);
    assert.not(early instanceof ApricotdeckError);
    await voted;
    await site.agent("r2").stop();
    await site.startAgent("r2");
    const end = await proposing;
    assert.not(end instanceof ApricotdeckError);
    await site.settled(end === "committed" ? 2 : 1);
    assert.equal(site.mixedSteps(), []);
  });

  // An engine restarts without its map, and the others hold their next step.
  // The group must form again on the map that was in force.
  it("forms again on the map in force when an engine restarts", async () => {
    await using site = await GroupSite.create(options);
    await site.settled(1);
    const { maps } = site.agent("r0");
    await maps.proposeMap(site.otherMap(1), PROPOSAL_TIMEOUT_MS);
    await site.settled(2);
    site.engines.start("r1");
    const restarted = site.steps.length;
    await waitFor(() => site.steps.length > restarted + 30);
    await site.settled(2);
    assert.equal(site.mixedSteps(), []);
  });

  it("refuses a map while the group isn't formed", async () => {
    await using site = await GroupSite.create(options);
    const { maps } = site.agent("r0");
    try {
      await maps.proposeMap(site.otherMap(1), PROPOSAL_TIMEOUT_MS);
      assert.unreachable("the group can't have formed yet");
    } catch (error) {
      assert.instance(error, ApricotdeckError);
      assert.is((error as ApricotdeckError).number, 1606);
    }
  });
});
