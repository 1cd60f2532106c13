import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { DOWNTIME_MS, EntryCluster } from "./entry-cluster.js";
import {
  EntrySite,
  type CallerAnswer,
  type CallOptions,
} from "./entry-site.js";

/** Delay after which the entries know of a crash, ms. */
const KNOWN_AFTER_MS = 600;
/** Crashes from which on the platform limits runs with the part. */
const MAXIMUM_CRASHES = 5;
const CRASHING_PART = "bad0:40";
const SUSPECTS_METRIC = "apricotdeck_suspect_requests";
const ENTRIES = 3;

let requestCount = 0;

/** Each request has a body and a last part of its own. */
function callWith(parts: readonly string[]): CallOptions {
  requestCount += 1;
  const prompt = [...parts, `${requestCount.toString(16)}:7`].join(",");
  return {
    path: "/often/draft",
    method: "POST",
    body: `request ${requestCount}`,
    headers: { [headerNames.promptParts]: prompt },
  };
}

const crashingCall = (): CallOptions => callWith(["aa:30", CRASHING_PART]);
/** Shares the account and the first part with the crashing requests. */
const harmlessCall = (): CallOptions => callWith(["aa:30", "cc:20"]);

function createCluster(): Promise<EntryCluster> {
  return EntryCluster.create(ENTRIES, ({ headers }) =>
    String(headers[headerNames.promptParts]).includes(CRASHING_PART),
  );
}

function sendCrashing(
  cluster: EntryCluster,
  rounds: number,
): Promise<readonly CallerAnswer[]> {
  return cluster.callEach(rounds, crashingCall, KNOWN_AFTER_MS);
}

describe("a part that crashes whoever writes an answer on it", () => {
  it("crashes at most five runners, though no two requests are alike", async () => {
    // Guards against knowing a request by its whole content only.
    await using cluster = await createCluster();
    await sendCrashing(cluster, 4);
    assert.ok(cluster.crashes <= MAXIMUM_CRASHES, `${cluster.crashes}`);
  });

  it("takes no request along that shares its other parts", async () => {
    // Guards against blaming the first part, which all lost requests had too.
    await using cluster = await createCluster();
    await sendCrashing(cluster, 3);
    await pause(DOWNTIME_MS + 300);
    const answers = await cluster.callEach(5, harmlessCall);
    const statuses = answers.map(({ status }) => status);
    assert.equal(statuses, Array(5 * ENTRIES).fill(200));
  });

  it("is withheld by an entry that starts afterwards", async () => {
    // Guards against evidence that isn't in the store, also after a rollback.
    await using cluster = await createCluster();
    const copy = cluster.first.store.takeSnapshot();
    await sendCrashing(cluster, 2);
    cluster.first.store.restoreSnapshot(copy);
    await pause(3000);
    const crashesBefore = cluster.crashes;
    await using lateEntry = await EntrySite.addEntry(cluster.first, "entry-9");
    await lateEntry.waitUntil(
      async () => (await lateEntry.readiness()) === 200,
    );
    await lateEntry.waitUntil(
      async () => (await lateEntry.gauge(SUSPECTS_METRIC)) > 0,
    );
    assert.is((await lateEntry.call(crashingCall())).status, 502);
    assert.is(cluster.crashes, crashesBefore);
  });

  it("is recognized by each entry while the store is unavailable", async () => {
    // Guards against waiting for what other entries observe.
    await using cluster = await createCluster();
    for (const site of cluster.sites) await site.makeStoreUnavailable();
    await sendCrashing(cluster, 7);
    assert.ok(
      cluster.crashes <= MAXIMUM_CRASHES * ENTRIES,
      `${cluster.crashes}`,
    );
  });
});
