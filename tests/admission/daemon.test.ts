import * as assert from "uvu/assert";
import {
  credentialOf,
  MODEL,
  MODEL_GROUP,
  SERVICE_GROUP,
  siteConfiguration,
} from "../../demo/configurations.js";
import { startSite, type Site } from "../../demo/site.js";
import { describe, it } from "../support/describe.js";

const STEP_MS = 5;
/** Enough output that all calls arrive while the first one still runs. */
const OUTPUT_TOKENS = 200;
const PROMPT = "leak at valve 12";

function singleRequestConfiguration(): ReturnType<typeof siteConfiguration> {
  const configuration = siteConfiguration("dyfrwr", 1);
  const queue = { maximumTokens: 80, maximumWaitMs: 30_000 };
  const profiles = configuration.profiles.map((profile) => ({
    ...profile,
    concurrency: 1,
    queue,
  }));
  return { ...configuration, profiles };
}

function sendCompletion(site: Site): Promise<Response> {
  const address = site.entries[0].daemon.process.callers;
  return fetch(`http://${address}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${credentialOf("dyfrwr", 0)}` },
    body: JSON.stringify({
      model: MODEL,
      prompt: PROMPT,
      max_tokens: OUTPUT_TOKENS,
    }),
  });
}

describe("an entry with more calls than a profile's concurrency", () => {
  // Three calls arrive together; the profile runs one and its queue holds one.
  // Guards against the third being answered only once the others have ended:
  // it must be refused at once as not run, with a time to retry after.
  it("runs one, queues one and refuses one at once", async () => {
    await using site = await startSite({
      dataCentres: ["caerdydd"],
      entriesPerDataCentre: 1,
      runners: 1,
      services: 1,
      stepMs: STEP_MS,
      modelGroup: MODEL_GROUP,
      serviceGroup: SERVICE_GROUP,
    });
    await site.publish(singleRequestConfiguration());
    await site.waitUntilReady();
    const ended: number[] = [];
    const calls = [1, 2, 3].map(async () => {
      const response = await sendCompletion(site);
      ended.push(response.status);
      return response;
    });
    const answers = await Promise.all(calls);
    const refused = answers.find(({ status }) => status === 429);
    assert.equal(ended, [429, 200, 200]);
    assert.ok(Number(refused?.headers.get("retry-after")) >= 1);
    const body = JSON.stringify(await refused?.json());
    assert.match(body, /1501/);
    assert.match(body, /not-run/);
  });
});
