import { createHash } from "node:crypto";
import OpenAI from "openai";
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

function startSmallSite(): Promise<Site> {
  return startSite({
    dataCentres: ["caerdydd"],
    entriesPerDataCentre: 1,
    runners: 1,
    services: 1,
    stepMs: 2,
    modelGroup: MODEL_GROUP,
    serviceGroup: SERVICE_GROUP,
  });
}

function clientOf(site: Site, account = 0): OpenAI {
  return new OpenAI({
    apiKey: credentialOf("dyfrwr", account),
    baseURL: `http://${site.entries[0].daemon.process.callers}/v1`,
    maxRetries: 0,
  });
}

/** The text with which the stand-in engine answers a prompt. */
function expectedText(prompt: string, tokens: number): string {
  const digest = createHash("sha256").update(prompt).digest("hex").slice(0, 8);
  return Array.from({ length: tokens }, (_, i) => `${digest}.${i} `).join("");
}

describe("the request path through separate processes", () => {
  it("answers the unmodified OpenAI client, with and without streaming", async () => {
    await using site = await startSmallSite();
    await site.publish(siteConfiguration("dyfrwr", 1));
    await site.waitUntilReady();
    const client = clientOf(site);

    const models = await client.models.list();
    assert.equal(
      models.data.map(({ id }) => id),
      [MODEL],
    );

    const prompt = "leak at valve 12, loggers 3 and 4";
    const messages = [{ role: "user" as const, content: prompt }];
    const stream = await client.chat.completions.create({
      model: MODEL,
      messages,
      max_completion_tokens: 20,
      stream: true,
    });
    let text = "";
    for await (const chunk of stream) {
      text += chunk.choices[0].delta.content ?? "";
    }
    assert.is(text, expectedText(prompt, 20));

    const complete = await client.chat.completions.create({
      model: MODEL,
      messages,
      max_completion_tokens: 5,
    });
    assert.is(complete.choices[0].message.content, expectedText(prompt, 5));

    const completion = await client.completions.create({
      model: MODEL,
      prompt,
      max_tokens: 5,
    });
    assert.is(completion.choices[0].text, expectedText(prompt, 5));

    const address = site.entries[0].daemon.process.callers;
    const records = await fetch(`http://${address}/services/records/valves/7`, {
      headers: {
        authorization: `Bearer ${credentialOf("dyfrwr", 1)}`,
        "apricotdeck-profile": "records",
      },
    });
    const body = (await records.json()) as { path: string };
    assert.is(body.path, "/valves/7");
  });
});
