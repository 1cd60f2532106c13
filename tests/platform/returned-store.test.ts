import * as assert from "uvu/assert";
import { headerNames, topics } from "../../platform/names.js";
import { answerWith } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite } from "./entry-site.js";

/** Longer than a registration is kept that the store has lost, ms. */
const PAST_GRACE_MS = 3200;
const ERA = "apricotdeck_store_era";

describe("an entry whose store came back from an older copy", () => {
  it("sends nothing to a runner that has left and is ready in the copy", async () => {
    // The copy is from before the runner said that it leaves. No call to the
    // store failed meanwhile, and new records have taken the lost offsets.
    await using site = await EntrySite.serving(
      answerWith("stays"),
      answerWith("leaves"),
    );
    const [staying, leaving] = site.runners;
    const copy = site.store.copy();
    site.register(leaving, "draining");
    await site.soon("it is left out", () => site.entry.runnerCount === 1);
    site.store.returnFrom(copy);
    site.register(staying, "ready");
    await site.soon(
      "the era is known",
      async () => (await site.gauge(ERA)) === 2,
    );
    await pause(PAST_GRACE_MS);
    assert.is(site.entry.runnerCount, 1);
    for (let turn = 0; turn < 10; turn += 1) {
      assert.is((await site.call({ path: "/often/a" })).status, 200);
    }
    assert.is(leaving.arrivals.length, 0);
  });

  it("keeps a runner that isn't in the copy, and takes it when it writes again", async () => {
    // All runners have registered since the copy: taken for gone, the service
    // is refused until they have written again.
    await using site = await EntrySite.create();
    site.configure({});
    const copy = site.store.copy();
    const runner = await site.addRunner(answerWith("here"));
    await site.soon("it is known", () => site.entry.runnerCount === 1);
    site.store.returnFrom(copy);
    await site.soon(
      "the era is known",
      async () => (await site.gauge(ERA)) === 2,
    );
    assert.is((await site.call({ path: "/often/a" })).status, 200);
    site.register(runner, "ready");
    await pause(PAST_GRACE_MS);
    assert.is(site.entry.runnerCount, 1);
  });

  it("keeps the configuration in force until a newer one is written", async () => {
    // The copy holds the configuration before: a route that it still has was
    // taken away since, and a key that it lacks was added.
    await using site = await EntrySite.serving(answerWith("here"));
    const copy = site.store.copy();
    const { store } = site;
    site.configure({ version: 7, tenants: [] });
    const isOpen = async (): Promise<boolean> => {
      const headers = { [headerNames.credential]: "none" };
      const { status } = await site.call({ path: "/often/a", headers });
      return status === 200;
    };
    await site.soon("it is in force", isOpen);
    store.returnFrom(copy);
    await site.soon(
      "the era is known",
      async () => (await site.gauge(ERA)) === 2,
    );
    store.put(topics.pace, "127.0.0.1:1", { slowness: 1 });
    await pause(PAST_GRACE_MS);
    assert.ok(await isOpen());
  });
});
