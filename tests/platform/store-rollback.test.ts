import * as assert from "uvu/assert";
import { headerNames, topics } from "../../platform/names.js";
import { answerWith } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite } from "./entry-site.js";

/**
 * Longer than the grace period for registrations that the store has lost, ms.
 */
const AFTER_GRACE_MS = 3200;
const ERA_METRIC = "apricotdeck_store_era";

describe("an entry whose store was rolled back to an older copy", () => {
  it("sends no requests to a runner that has left but is ready in the copy", async () => {
    // The copy precedes the runner's announcement that it leaves. No call to
    // the store failed in between, and new records have taken the offsets of
    // the lost ones.
    await using site = await EntrySite.createWithRunners(
      answerWith("stays"),
      answerWith("leaves"),
    );
    const [staying, leaving] = site.runners;
    const copy = site.store.takeSnapshot();
    site.register(leaving, "draining");
    await site.assertEventually(
      "the runner is removed",
      () => site.entry.runnerCount === 1,
    );
    site.store.restoreSnapshot(copy);
    site.register(staying, "ready");
    await site.assertEventually(
      "the new era is known",
      async () => (await site.gauge(ERA_METRIC)) === 2,
    );
    await pause(AFTER_GRACE_MS);
    assert.is(site.entry.runnerCount, 1);
    for (let call = 0; call < 10; call += 1) {
      assert.is((await site.call({ path: "/often/a" })).status, 200);
    }
    assert.is(leaving.receivedRequests.length, 0);
  });

  it("keeps a runner that isn't in the copy, also after it registers again", async () => {
    // All runners registered after the copy was made. If they were regarded as
    // gone, the service would be unavailable until they have registered again.
    await using site = await EntrySite.create();
    site.configure({});
    const copy = site.store.takeSnapshot();
    const runner = await site.addRunner(answerWith("here"));
    await site.assertEventually(
      "the runner is known",
      () => site.entry.runnerCount === 1,
    );
    site.store.restoreSnapshot(copy);
    await site.assertEventually(
      "the new era is known",
      async () => (await site.gauge(ERA_METRIC)) === 2,
    );
    assert.is((await site.call({ path: "/often/a" })).status, 200);
    site.register(runner, "ready");
    await pause(AFTER_GRACE_MS);
    assert.is(site.entry.runnerCount, 1);
  });

  it("keeps the configuration in force until a newer one is written", async () => {
    // The copy holds the previous configuration. Applying it would bring back
    // removed routes and revoke added keys; here callers would need a valid API
    // key again.
    await using site = await EntrySite.createWithRunners(answerWith("here"));
    const copy = site.store.takeSnapshot();
    const { store } = site;
    site.configure({ version: 7, tenants: [] });
    const acceptsUnknownKey = async (): Promise<boolean> => {
      const headers = { [headerNames.credential]: "none" };
      const { status } = await site.call({ path: "/often/a", headers });
      return status === 200;
    };
    await site.assertEventually(
      "the configuration is in force",
      acceptsUnknownKey,
    );
    store.restoreSnapshot(copy);
    await site.assertEventually(
      "the new era is known",
      async () => (await site.gauge(ERA_METRIC)) === 2,
    );
    store.put(topics.pace, "127.0.0.1:1", { slowness: 1 });
    await pause(AFTER_GRACE_MS);
    assert.ok(await acceptsUnknownKey());
  });
});
