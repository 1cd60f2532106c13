import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { gunzipSync } from "node:zlib";
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
import { runTool, runToolJson } from "../../demo/tool-process.js";

function startSmallSite(): Promise<Site> {
  return startSite({
    dataCentres: ["lac"],
    entriesPerDataCentre: 1,
    runners: 1,
    services: 0,
    stepMs: 2,
    modelGroup: MODEL_GROUP,
    serviceGroup: SERVICE_GROUP,
  });
}

async function configurationFile(value: unknown): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), "apricotdeck-"));
  const file = path.join(folder, "site.jsonc");
  await writeFile(file, `// a site\n${JSON.stringify(value)}`);
  return file;
}

async function completeOnce(site: Site): Promise<string> {
  const address = site.entries[0].daemon.process.callers;
  const response = await fetch(`http://${address}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${credentialOf("ben-ammar", 0)}` },
    body: JSON.stringify({ model: MODEL, prompt: "dossier", max_tokens: 4 }),
  });
  assert.is(response.status, 200);
  await response.text();
  return response.headers.get("apricotdeck-request") ?? "";
}

describe("the command-line tool", () => {
  it("names path, found and expected value of a wrong configuration", async () => {
    const configuration = siteConfiguration("ben-ammar", 1);
    const wrong = { ...configuration, balance: { skewWeight: 3 } };
    const file = await configurationFile(wrong);
    const { code, stdout } = await runTool(undefined, "check", file);
    assert.is(code, 1);
    assert.match(stdout, /1101 .*path=balance\.skewWeight, found=3, expected=/);
  });

  it("publishes, shows the timeline of a request and writes a bundle", async () => {
    await using site = await startSmallSite();
    const file = await configurationFile(siteConfiguration("ben-ammar", 1));

    const published = await runTool(site, "publish", file, "--author", "ops");
    assert.is(published.code, 0, published.stderr);
    assert.match(published.stdout, /version 0 is in force at 2 processes/);
    await site.waitUntilReady();

    const request = await completeOnce(site);
    const timeline = await runTool(site, "timeline", "--request", request);
    const names = [...timeline.stdout.matchAll(/ (request|attempt)-\w+ /g)];
    assert.equal(
      names.map(([name]) => name.trim()),
      [
        "request-accepted",
        "attempt-dispatched",
        "attempt-started",
        "request-finished",
      ],
    );

    const status = (await runToolJson(site, "status")) as {
      balanced: boolean;
      conservation: { accepted: number; answered: number };
    };
    assert.ok(status.balanced);
    assert.is(status.conservation.answered, status.conservation.accepted);

    const bundle = path.join(path.dirname(file), "bundle.json.gz");
    assert.is((await runTool(site, "bundle", bundle)).code, 0);
    const text = gunzipSync(await readFile(bundle)).toString();
    const { credentialHashes } = siteConfiguration("ben-ammar", 1).accounts[0];
    assert.not.ok(text.includes(credentialHashes[0]));
    assert.ok(text.includes(request));
  });

  /*
   * Two operators publish from the same version at the same time. Only the one
   * whose record is first in the log may be told that its version is in force;
   * the other must get error 1102.
   */
  it("accepts exactly one of two concurrent publications", async () => {
    await using site = await startSmallSite();
    const file = await configurationFile(siteConfiguration("ben-ammar", 1));
    site.log.faults.holdAppends = 2;
    const results = await Promise.all([
      runTool(site, "publish", file, "--author", "first"),
      runTool(site, "publish", file, "--author", "second"),
    ]);
    const codes = results.map(({ code }) => code).sort();
    assert.equal(codes, [0, 1]);
    const refused = results.find(({ code }) => code === 1);
    assert.match(refused?.stdout ?? "", /1102 configuration-superseded/);
  });

  /*
   * The log stores a publication but the answer to the append is lost. The tool
   * must neither report a failure nor have the publication accepted twice.
   */
  it("finds an append whose answer was lost by reading the log", async () => {
    await using site = await startSmallSite();
    const file = await configurationFile(siteConfiguration("ben-ammar", 1));
    site.log.faults.dropAppendResponses = 1;
    const { code, stderr } = await runTool(site, "publish", file);
    assert.is(code, 0, stderr);
    const { history } = (await runToolJson(site, "history")) as {
      history: { verdict: string }[];
    };
    assert.equal(
      history.map(({ verdict }) => verdict),
      ["accepted"],
    );
  });

  it("shows the configuration in force and drains a process", async () => {
    await using site = await startSmallSite();
    const configuration = siteConfiguration("ben-ammar", 1);
    await site.publish(configuration);
    await site.waitUntilReady();

    const shown = (await runToolJson(site, "show")) as {
      version: number;
      configuration: { profiles: { name: string }[] };
    };
    assert.is(shown.version, 0);
    assert.equal(
      shown.configuration.profiles.map(({ name }) => name),
      configuration.profiles.map(({ name }) => name),
    );

    const drained = await runTool(site, "drain", "runner-0");
    assert.is(drained.code, 0, drained.stderr);
    assert.match(drained.stdout, /runner-0 has ended/);
    assert.is((await runTool(site, "drain", "nobody")).code, 4);

    const status = await runTool(site, "status");
    assert.is(status.code, 3);
    assert.match(status.stdout, /not reached: runner-0/);
  });

  /*
   * The platform's list of VMs is unavailable. The tool must report that as an
   * error, not print an empty table that looks like a site without processes.
   */
  it("reports that the platform can't be reached", async () => {
    const nowhere = "http://127.0.0.1:9";
    const { code, stderr } = await runTool(
      undefined,
      "status",
      "--vm-list",
      nowhere,
    );
    assert.is(code, 4);
    assert.match(stderr, /1903 platform-answer-invalid/);
    const missing = await runTool(undefined, "status");
    assert.is(missing.code, 2);
  });

  it("explains error and event numbers", async () => {
    const error = await runTool(undefined, "explain", "1203");
    assert.match(error.stdout, /profile-unknown/);
    const event = await runTool(undefined, "explain", "124");
    assert.match(event.stdout, /request-finished/);
    assert.is((await runTool(undefined, "explain", "9")).code, 1);
  });
});
