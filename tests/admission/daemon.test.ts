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
/** Long enough for all calls to arrive while the first one runs. */
const TOKENS = 200;
const PROMPT = "leak at valve 12";

function narrowConfiguration(): ReturnType<typeof siteConfiguration> {
  const configuration = siteConfiguration("dyfrwr", 1);
  const queue = { maximumTokens: 80, maximumWaitMs: 30_000 };
  const profiles = configuration.profiles.map((profile) => ({
    ...profile,
    concurrency: 1,
    queue,
  }));
  return { ...configuration, profiles };
}

function ask(site: Site): Promise<Response> {
  const address = site.entries[0].daemon.process.callers;
  return fetch(`http://${address}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${credentialOf("dyfrwr", 0)}` },
    body: JSON.stringify({ model: MODEL, prompt: PROMPT, max_tokens: TOKENS }),
  });
}

describe("an entry with more calls than a profile may run", () => {
  // Three calls of one account arrive at once; the profile runs one of them
  // and has room for one that waits. The caller of the third must hear at
  // once that it was not run and when to come back, not when the others end.
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
    await site.publish(narrowConfiguration());
    await site.settled();
    const ended: number[] = [];
    const calls = [1, 2, 3].map(async () => {
      const response = await ask(site);
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
