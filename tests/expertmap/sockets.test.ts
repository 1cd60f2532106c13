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
  it("forms the group, switches the map and keeps every step on one", async () => {
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
      assert.equal(agent.events(164), [], "a normal switch holds nobody");
    }
  });

  // The store fails while weights are on their way. The proposal waits; once
  // the store is back the fetch goes on from the bytes that are staged, and the
  // map comes into force with nothing fetched twice.
  it("goes on with the weights when the store comes back", async () => {
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

  // The agent of one rank dies after the proposal was made and another takes
  // its place, which knows nothing of it. The proposal ends one way for all,
  // and the group steps on.
  it("settles a proposal although an agent is replaced in it", async () => {
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

  // An engine starts again and has forgotten its map; the others hold their
  // next step for it. The group forms anew on the map that was in force.
  it("forms anew with the map in force when an engine starts again", async () => {
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
