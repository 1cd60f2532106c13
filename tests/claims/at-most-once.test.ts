import { v4 as uuidV4, v7 as uuidV7 } from "uuid";
import * as assert from "uvu/assert";
import {
  credentialOf,
  MODEL_GROUP,
  SERVICE_GROUP,
  siteConfiguration,
} from "../../demo/configurations.js";
import { startSite, type Site } from "../../demo/site.js";
import { describe, it } from "../support/describe.js";

async function startOrderSite(): Promise<Site> {
  const site = await startSite({
    dataCentres: ["caerdydd"],
    entriesPerDataCentre: 2,
    runners: 0,
    services: 1,
    stepMs: 2,
    modelGroup: MODEL_GROUP,
    serviceGroup: SERVICE_GROUP,
  });
  const configuration = siteConfiguration("dyfrwr", 1);
  const profiles = configuration.profiles.map((profile) =>
    profile.name === "records" ? { ...profile, repeatable: false } : profile,
  );
  await site.publish({ ...configuration, profiles });
  await site.waitUntilReady();
  return site;
}

interface Answer {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly retryAfter: string | null;
  /** Id of the attempt that the service ran. */
  readonly executedId: string | undefined;
}

/** Sends a non-repeatable order to one of the entries. */
async function order(site: Site, entry: number, key?: string): Promise<Answer> {
  const address = site.entries[entry].daemon.process.callers;
  const response = await fetch(`http://${address}/services/records/orders`, {
    method: "POST",
    body: "dig at valve 12",
    headers: {
      authorization: `Bearer ${credentialOf("dyfrwr", 0)}`,
      "apricotdeck-profile": "records",
      ...(key === undefined ? {} : { "idempotency-key": key }),
    },
  });
  const body = (await response.json()) as {
    readonly id?: string;
    readonly error?: { readonly outcome?: string };
  };
  const retryAfter = response.headers.get("retry-after");
  const outcome = body.error?.outcome;
  return { status: response.status, outcome, retryAfter, executedId: body.id };
}

describe("non-repeatable calls in separate processes", () => {
  it("run at most once despite log faults and repeats", async () => {
    await using site = await startOrderSite();
    const { executedRequestIds } = site.services[0].service;

    // With a valid key, without a key, and with a malformed key.
    assert.is((await order(site, 0, uuidV7())).status, 200);
    assert.is((await order(site, 0)).status, 200);
    const malformed = await order(site, 0, uuidV4());
    assert.is(malformed.status, 400);
    assert.is(malformed.outcome, "not-run");
    assert.is(executedRequestIds.length, 2);

    // A caller repeats the call at the other entry, first sequentially, then
    // concurrently. The other entry finds the claim in the log, so the repeat
    // gets the answer of the first call and nothing runs twice.
    const key = uuidV7();
    const first = await order(site, 0, key);
    assert.equal(await order(site, 1, key), first);
    const concurrentKey = uuidV7();
    const [concurrentFirst, concurrentSecond] = await Promise.all([
      order(site, 0, concurrentKey),
      order(site, 1, concurrentKey),
    ]);
    assert.is(concurrentFirst.status, 200);
    assert.equal(concurrentSecond, concurrentFirst);
    assert.is(executedRequestIds.length, 4);

    // The claim is appended, but the log's answer is lost. The entry finds out
    // by reading that its claim won.
    site.log.faults.dropAppendResponses = 1;
    assert.is((await order(site, 0, uuidV7())).status, 200);
    assert.is(executedRequestIds.length, 5);

    // The log is down. Another entry may have claimed the caller's key, so the
    // outcome is unknown; a call without a key didn't run. Both are refused
    // after a bounded wait, and a repeat with the key succeeds after the
    // outage.
    site.log.faults.outage = true;
    const outageKey = uuidV7();
    const [keyed, keyless] = await Promise.all([
      order(site, 0, outageKey),
      order(site, 1),
    ]);
    assert.equal([keyed.status, keyed.outcome], [503, "unknown"]);
    assert.equal([keyless.status, keyless.outcome], [503, "not-run"]);
    assert.ok(keyed.retryAfter);
    assert.is(executedRequestIds.length, 5);
    site.log.faults.outage = false;
    assert.is((await order(site, 1, outageKey)).status, 200);
    assert.is(executedRequestIds.length, 6);
  });
});
