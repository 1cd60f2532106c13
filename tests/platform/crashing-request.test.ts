import * as assert from "uvu/assert";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { DOWNTIME_MS, EntryCluster } from "./entry-cluster.js";
import { EntrySite, type CallerAnswer } from "./entry-site.js";

/** Delay after which the entries know of a crash, ms. */
const RETRY_DELAY_MS = 600;
/** A request with this body crashes the runner that executes it. */
const CRASHING_BODY = "poison";
const SUSPECTS_METRIC = "apricotdeck_suspect_requests";

function createCluster(entries: number): Promise<EntryCluster> {
  return EntryCluster.create(entries, ({ body }) => body === CRASHING_BODY);
}

/** Sends the request to each entry in turn. */
function callEach(
  cluster: EntryCluster,
  path: string,
  body: string,
  rounds: number,
): Promise<readonly CallerAnswer[]> {
  const pauseMs = body === CRASHING_BODY ? RETRY_DELAY_MS : 0;
  const options = { path, method: "POST", body };
  return cluster.callEach(rounds, () => options, pauseMs);
}

describe("a request that crashes whoever runs it", () => {
  it("crashes at most two runners, though it is repeated at every entry", async () => {
    // Each crash ends all streams of a group, which then has to form again.
    await using cluster = await createCluster(3);
    const answers = await callEach(cluster, "/often/bad", CRASHING_BODY, 3);
    assert.is(cluster.crashes, 2);
    // The request wasn't run, and repeating it later wouldn't help, so there is
    // no retry-after.
    const lastStatuses = answers.slice(-6).map(({ status }) => status);
    assert.equal(lastStatuses, Array(6).fill(502));
    assert.is(answers.at(-1)?.headers["retry-after"], undefined);
  });

  it("crashes at most two runners when it isn't idempotent", async () => {
    await using cluster = await createCluster(2);
    await callEach(cluster, "/once/bad", CRASHING_BODY, 3);
    assert.is(cluster.crashes, 2);
  });

  it("takes no other request along", async () => {
    // Requests of the same account: on the same path with other bodies, on
    // another path, and without a body.
    await using cluster = await createCluster(2);
    await callEach(cluster, "/often/bad", CRASHING_BODY, 3);
    await pause(DOWNTIME_MS + 300);
    const otherAnswers = [
      ...(await callEach(cluster, "/often/bad", "harmless", 5)),
      ...(await callEach(cluster, "/often/other", "harmless", 5)),
      ...(await callEach(cluster, "/often/bad", "", 5)),
    ];
    const statuses = otherAnswers.map(({ status }) => status);
    assert.equal(statuses, Array(30).fill(200));
  });

  it("is known to an entry that starts afterwards", async () => {
    await using cluster = await createCluster(2);
    await callEach(cluster, "/often/bad", CRASHING_BODY, 3);
    await using lateEntry = await EntrySite.addEntry(cluster.first, "entry-9");
    await lateEntry.waitUntil(
      async () => (await lateEntry.readiness()) === 200,
    );
    await lateEntry.waitUntil(
      async () => (await lateEntry.gauge(SUSPECTS_METRIC)) > 0,
    );
    const options = { path: "/often/bad", method: "POST", body: CRASHING_BODY };
    assert.is((await lateEntry.call(options)).status, 502);
    assert.is(cluster.crashes, 2);
  });

  it("is recognized while the store is unavailable", async () => {
    // Without the store, each entry knows only the crashes that it has seen
    // itself.
    await using cluster = await createCluster(2);
    for (const site of cluster.sites) await site.makeStoreUnavailable();
    await callEach(cluster, "/often/bad", CRASHING_BODY, 3);
    assert.ok(
      cluster.crashes <= 2 * cluster.sites.length,
      `${cluster.crashes}`,
    );
  });

  it("is still known after the store was restored from an older copy", async () => {
    await using cluster = await createCluster(2);
    const copy = cluster.first.store.takeSnapshot();
    await callEach(cluster, "/often/bad", CRASHING_BODY, 3);
    cluster.first.store.restoreSnapshot(copy);
    await pause(3000);
    await using lateEntry = await EntrySite.addEntry(cluster.first, "entry-9");
    await lateEntry.waitUntil(
      async () => (await lateEntry.gauge(SUSPECTS_METRIC)) > 0,
    );
    await callEach(cluster, "/often/bad", CRASHING_BODY, 3);
    assert.is(cluster.crashes, 2);
  });
});
