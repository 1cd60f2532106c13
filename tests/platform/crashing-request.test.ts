import * as assert from "uvu/assert";
import { answerWith, type Behaviour } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite, type CallerAnswer } from "./entry-site.js";

/** How long a crashed runner is down, ms. */
const DOWNTIME_MS = 700;
/** Delay before the crashing request is sent again, ms. */
const RETRY_DELAY_MS = 600;
/** A request with this body crashes the runner that executes it. */
const CRASHING_BODY = "poison";
const RUNNERS = 4;
const SUSPECTS_METRIC = "apricotdeck_suspect_requests";

/**
 * Starts runners that answer every request except the one that crashes them.
 */
async function startRunners(site: EntrySite): Promise<void> {
  const serve = answerWith("ok");
  for (let count = 0; count < RUNNERS; count += 1) {
    const runner = await site.addRunner(serve);
    const behave: Behaviour = async (exchange) => {
      if (exchange.received.body !== CRASHING_BODY) await serve(exchange);
      else void runner.crash(DOWNTIME_MS);
    };
    runner.behaviour = behave;
  }
}

/** Several entries on the same store. */
class EntryCluster implements AsyncDisposable {
  private constructor(readonly sites: readonly EntrySite[]) {}

  static async create(count: number): Promise<EntryCluster> {
    const first = await EntrySite.create();
    first.configure({});
    await startRunners(first);
    const sites = [first];
    for (let index = 1; index < count; index += 1) {
      sites.push(await EntrySite.addEntry(first, `entry-${index + 1}`));
    }
    const cluster = new EntryCluster(sites);
    for (const site of sites) {
      await site.waitUntil(async () => (await site.readiness()) === 200);
      await site.waitUntil(() => site.entry.runnerCount === RUNNERS);
    }
    return cluster;
  }

  get first(): EntrySite {
    return this.sites[0];
  }

  get crashes(): number {
    return this.first.runners.reduce((sum, { crashes }) => sum + crashes, 0);
  }

  /** Sends the request to each entry in turn. */
  async callEach(
    path: string,
    body: string,
    rounds: number,
  ): Promise<readonly CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    for (let round = 0; round < rounds; round += 1) {
      for (const site of this.sites) {
        answers.push(await site.call({ path, method: "POST", body }));
        // The entries learn of a crash within a few tens of milliseconds.
        if (body === CRASHING_BODY) await pause(RETRY_DELAY_MS);
      }
    }
    return answers;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const site of [...this.sites].reverse()) {
      await site[Symbol.asyncDispose]();
    }
  }
}

describe("a request that crashes whoever runs it", () => {
  it("crashes at most two runners, though it is repeated at every entry", async () => {
    // Each crash ends all streams of a group, which then has to form again.
    await using cluster = await EntryCluster.create(3);
    const answers = await cluster.callEach("/often/bad", CRASHING_BODY, 3);
    assert.is(cluster.crashes, 2);
    // The request wasn't run, and repeating it later wouldn't help, so there is
    // no retry-after.
    const lastStatuses = answers.slice(-6).map(({ status }) => status);
    assert.equal(lastStatuses, Array(6).fill(502));
    assert.is(answers.at(-1)?.headers["retry-after"], undefined);
  });

  it("crashes at most two runners when it isn't idempotent", async () => {
    await using cluster = await EntryCluster.create(2);
    await cluster.callEach("/once/bad", CRASHING_BODY, 3);
    assert.is(cluster.crashes, 2);
  });

  it("takes no other request along", async () => {
    // Requests of the same account: on the same path with other bodies, on
    // another path, and without a body.
    await using cluster = await EntryCluster.create(2);
    await cluster.callEach("/often/bad", CRASHING_BODY, 3);
    await pause(DOWNTIME_MS + 300);
    const otherAnswers = [
      ...(await cluster.callEach("/often/bad", "harmless", 5)),
      ...(await cluster.callEach("/often/other", "harmless", 5)),
      ...(await cluster.callEach("/often/bad", "", 5)),
    ];
    const statuses = otherAnswers.map(({ status }) => status);
    assert.equal(statuses, Array(30).fill(200));
  });

  it("is known to an entry that starts afterwards", async () => {
    await using cluster = await EntryCluster.create(2);
    await cluster.callEach("/often/bad", CRASHING_BODY, 3);
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
    await using cluster = await EntryCluster.create(2);
    for (const site of cluster.sites) await site.makeStoreUnavailable();
    await cluster.callEach("/often/bad", CRASHING_BODY, 3);
    assert.ok(
      cluster.crashes <= 2 * cluster.sites.length,
      `${cluster.crashes}`,
    );
  });

  it("is still known after the store was restored from an older copy", async () => {
    await using cluster = await EntryCluster.create(2);
    const copy = cluster.first.store.takeSnapshot();
    await cluster.callEach("/often/bad", CRASHING_BODY, 3);
    cluster.first.store.restoreSnapshot(copy);
    await pause(3000);
    await using lateEntry = await EntrySite.addEntry(cluster.first, "entry-9");
    await lateEntry.waitUntil(
      async () => (await lateEntry.gauge(SUSPECTS_METRIC)) > 0,
    );
    await cluster.callEach("/often/bad", CRASHING_BODY, 3);
    assert.is(cluster.crashes, 2);
  });
});
