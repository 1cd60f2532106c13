import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import {
  answerWith,
  refuseAsFull,
  sayingItLeaves,
  streamEvents,
  type Behaviour,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite } from "./entry-site.js";

const CALLS = 20;
/** Longer in total than a full runner is left alone, ms. */
const CALL_INTERVAL_MS = 15;

/** Streams on the route of streams, and answers on the others. */
const serve: Behaviour = (exchange) =>
  exchange.received.target.startsWith("/stream")
    ? streamEvents(3)(exchange)
    : answerWith("ok")(exchange);

const answerUnsigned: Behaviour = ({ response }) => {
  response.end("ok");
};

/** A runner that says that it leaves, in each answer of `behave`, and others. */
async function createSite(
  behave: Behaviour,
  ...others: readonly Behaviour[]
): Promise<EntrySite> {
  const saying = sayingItLeaves(() => true, behave);
  return EntrySite.createWithRunners(saying, ...others);
}

async function callUntilHeard(site: EntrySite, path: string): Promise<number> {
  const [runner] = site.runners;
  await site.waitUntil(async () => {
    await site.call({ path });
    return runner.receivedRequests.length > 0;
  });
  return runner.receivedRequests.length;
}

async function callTimes(site: EntrySite, path: string): Promise<void> {
  for (let call = 0; call < CALLS; call += 1) {
    assert.is((await site.call({ path })).status, 200);
    await pause(CALL_INTERVAL_MS);
  }
}

describe("a runner that says in an answer that it leaves", () => {
  it("gets nothing more on any route although the register shows it as ready", async () => {
    // Guards against work that is sent to a runner that is about to end.
    await using site = await createSite(serve, serve);
    const [runner] = site.runners;
    const heard = await callUntilHeard(site, "/stream/a");
    site.register(runner, "ready");
    for (const path of ["/often/a", "/once/a", "/stream/a"]) {
      await callTimes(site, path);
    }
    assert.is(runner.receivedRequests.length, heard);
  });

  for (const [name, behave] of [
    ["a refusal", refuseAsFull],
    ["a failure", answerWith("failed", 500)],
    ["an answer without a signature", answerUnsigned],
  ] as const satisfies readonly (readonly [string, Behaviour])[]) {
    it(`gets nothing more after ${name}`, async () => {
      // Guards against a notice that counts in good answers only.
      await using site = await createSite(behave, serve);
      const heard = await callUntilHeard(site, "/stream/a");
      await callTimes(site, "/often/a");
      assert.is(site.runners[0].receivedRequests.length, heard);
    });
  }

  it("gets nothing more while the store is away", async () => {
    // Guards against a notice that counts only when the register repeats it.
    await using site = await createSite(answerWith("ok"), answerWith("ok"));
    await site.makeStoreUnavailable();
    const heard = await callUntilHeard(site, "/often/a");
    await callTimes(site, "/often/a");
    assert.is(site.runners[0].receivedRequests.length, heard);
  });

  it("gets nothing more after its registration has come again", async () => {
    // Guards against a late or restored record that undoes the notice.
    await using site = await createSite(answerWith("ok"), answerWith("ok"));
    const [runner] = site.runners;
    const heard = await callUntilHeard(site, "/often/a");
    site.store.appendTombstone("keyed.servers", runner.id);
    await site.waitUntil(() => site.entry.runnerCount === 1);
    site.register(runner, "ready");
    await site.waitUntil(() => site.entry.runnerCount === 2);
    await callTimes(site, "/often/a");
    assert.is(runner.receivedRequests.length, heard);
  });

  it("leaves callers refused at once if it was the last one", async () => {
    // Guards against callers that wait for a runner that gets nothing.
    await using site = await createSite(answerWith("ok"));
    await callUntilHeard(site, "/often/a");
    const startedAtMs = performance.now();
    const { status, headers } = await site.call({ path: "/often/a" });
    assert.is(status, 503);
    assert.ok(performance.now() - startedAtMs < 200);
    assert.ok(Number(headers["retry-after-ms"]) > 0);
  });

  it("gets requests again in a new incarnation", async () => {
    // Guards against a restarted runner that is left idle.
    await using site = await EntrySite.create();
    site.configure({});
    const saying = sayingItLeaves(() => true, answerWith("ok"));
    const runner = await site.addRunner(saying, { born: 1000 });
    await site.waitUntil(async () => (await site.readiness()) === 200);
    await site.waitUntil(() => site.entry.runnerCount === 1);
    await site.call({ path: "/often/a" });
    assert.is((await site.call({ path: "/often/a" })).status, 503);
    const later = { born: 2000 };
    await site.restartAtNewAddress(runner, answerWith("ok"), later);
    await site.assertEventually(
      "the new incarnation is used",
      async () => (await site.call({ path: "/often/a" })).status === 200,
    );
  });

  it("is counted as leaving, not as failing", async () => {
    await using site = await createSite(answerWith("ok"), answerWith("ok"));
    await callUntilHeard(site, "/often/a");
    const lines = await site.metricLines("apricotdeck_runner_held_back{");
    assert.is(lines.length, 1);
    assert.match(lines[0], 'cause="leaving"');
  });

  it("isn't taken to leave by any other value", async () => {
    const other: Behaviour = ({ response, signatureHeaders }) => {
      response
        .writeHead(200, { ...signatureHeaders, [headerNames.leaving]: "0" })
        .end("ok");
    };
    await using site = await EntrySite.createWithRunners(other);
    await callTimes(site, "/often/a");
    assert.is(site.runners[0].receivedRequests.length, CALLS);
  });
});
