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
  await site.settled();
  return site;
}

interface Answer {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly retryAfter: string | null;
  /** Attempt that the service ran. */
  readonly ran: string | undefined;
}

/** A dig order sent to one of the entries. */
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
  return { status: response.status, outcome, retryAfter, ran: body.id };
}

describe("calls that may not be repeated, over separate processes", () => {
  it("run once, whatever the log and the callers do", async () => {
    await using site = await startOrderSite();
    const { ran } = site.services[0].service;

    // With a key, without one, and with a key of another form.
    assert.is((await order(site, 0, uuidV7())).status, 200);
    assert.is((await order(site, 0)).status, 200);
    const malformed = await order(site, 0, uuidV4());
    assert.is(malformed.status, 400);
    assert.is(malformed.outcome, "not-run");
    assert.is(ran.length, 2);

    // A caller repeats at the other entry, one after the other and at once. The
    // claim is found in the log; the repeat gets the answer of the first, and
    // the call runs no second time.
    const key = uuidV7();
    const first = await order(site, 0, key);
    assert.equal(await order(site, 1, key), first);
    const racing = uuidV7();
    const [one, other] = await Promise.all([
      order(site, 0, racing),
      order(site, 1, racing),
    ]);
    assert.is(one.status, 200);
    assert.equal(other, one);
    assert.is(ran.length, 4);

    // The claim lands, but the log's answer to its append is lost. The entry
    // learns by reading that its claim came first.
    site.log.faults.loseAppendAnswers = 1;
    assert.is((await order(site, 0, uuidV7())).status, 200);
    assert.is(ran.length, 5);

    // The log is down. Nobody can tell whether another entry has the caller's
    // key, so the refusal says unknown; a call without one was not run. Both
    // come after a bounded wait, and the repeat under the key goes on later.
    site.log.faults.outage = true;
    const kept = uuidV7();
    const [keyed, keyless] = await Promise.all([
      order(site, 0, kept),
      order(site, 1),
    ]);
    assert.equal([keyed.status, keyed.outcome], [503, "unknown"]);
    assert.equal([keyless.status, keyless.outcome], [503, "not-run"]);
    assert.ok(keyed.retryAfter);
    assert.is(ran.length, 5);
    site.log.faults.outage = false;
    assert.is((await order(site, 1, kept)).status, 200);
    assert.is(ran.length, 6);
  });
});
