import * as assert from "uvu/assert";
import { answerWith, type Behaviour } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite, type CallerAnswer } from "./entry-site.js";

/** Time that a runner is down for, ms. */
const DOWN_MS = 700;
/** Time after which a request comes again, ms. */
const COMES_AGAIN_MS = 600;
/** What begins to run where this is the body crashes its runner. */
const POISON = "poison";
const RUNNERS = 4;
const SUSPECTS = "apricotdeck_suspect_requests";

/** Serves all but the one request that crashes it. */
async function startRunners(site: EntrySite): Promise<void> {
  const serve = answerWith("whole");
  for (let count = 0; count < RUNNERS; count += 1) {
    const runner = await site.addRunner(serve);
    const behave: Behaviour = async (exchange) => {
      if (exchange.arrival.body !== POISON) await serve(exchange);
      else void runner.crash(DOWN_MS);
    };
    runner.behaviour = behave;
  }
}

/** Several entries of one site. */
class Entries implements AsyncDisposable {
  private constructor(readonly sites: readonly EntrySite[]) {}

  static async create(count: number): Promise<Entries> {
    const first = await EntrySite.create();
    first.configure({});
    await startRunners(first);
    const sites = [first];
    for (let at = 1; at < count; at += 1) {
      sites.push(await EntrySite.beside(first, `entry-${at + 1}`));
    }
    const entries = new Entries(sites);
    for (const site of sites) {
      await site.until(async () => (await site.readiness()) === 200);
      await site.until(() => site.entry.runnerCount === RUNNERS);
    }
    return entries;
  }

  get first(): EntrySite {
    return this.sites[0];
  }

  get crashes(): number {
    return this.first.runners.reduce((sum, { crashes }) => sum + crashes, 0);
  }

  /** At one entry after the other. */
  async callEach(
    path: string,
    body: string,
    rounds: number,
  ): Promise<readonly CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    for (let round = 0; round < rounds; round += 1) {
      for (const site of this.sites) {
        answers.push(await site.call({ path, method: "POST", body }));
        // The entries hear of a crash within a few tens of milliseconds.
        if (body === POISON) await pause(COMES_AGAIN_MS);
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
  it("crashes two runners at the most, though it comes again at every entry", async () => {
    // Each crash takes all streams of a group along, and its time to form anew.
    await using entries = await Entries.create(3);
    const answers = await entries.callEach("/often/bad", POISON, 3);
    assert.is(entries.crashes, 2);
    // It hasn't run, and a caller that waits and comes again gets no further.
    const last = answers.slice(-6).map(({ status }) => status);
    assert.equal(last, Array(6).fill(502));
    assert.is(answers.at(-1)?.headers["retry-after"], undefined);
  });

  it("crashes no more runners when it may not be repeated", async () => {
    await using entries = await Entries.create(2);
    await entries.callEach("/once/bad", POISON, 3);
    assert.is(entries.crashes, 2);
  });

  it("takes no other request along", async () => {
    // Others of the same account, at the same path, and the same of nobody else.
    await using entries = await Entries.create(2);
    await entries.callEach("/often/bad", POISON, 3);
    await pause(DOWN_MS + 300);
    const others = [
      ...(await entries.callEach("/often/bad", "harmless", 5)),
      ...(await entries.callEach("/often/other", "harmless", 5)),
      ...(await entries.callEach("/often/bad", "", 5)),
    ];
    const statuses = others.map(({ status }) => status);
    assert.equal(statuses, Array(30).fill(200));
  });

  it("is known to an entry that starts afterwards", async () => {
    await using entries = await Entries.create(2);
    await entries.callEach("/often/bad", POISON, 3);
    await using late = await EntrySite.beside(entries.first, "entry-9");
    await late.until(async () => (await late.readiness()) === 200);
    await late.until(async () => (await late.gauge(SUSPECTS)) > 0);
    const options = { path: "/often/bad", method: "POST", body: POISON };
    assert.is((await late.call(options)).status, 502);
    assert.is(entries.crashes, 2);
  });

  it("is known for what it is while the store is away", async () => {
    // Each entry has only what it has seen itself.
    await using entries = await Entries.create(2);
    for (const site of entries.sites) await site.loseStore();
    await entries.callEach("/often/bad", POISON, 3);
    assert.ok(
      entries.crashes <= 2 * entries.sites.length,
      `${entries.crashes}`,
    );
  });

  it("is still known when the store has come back from an older copy", async () => {
    await using entries = await Entries.create(2);
    const copy = entries.first.store.copy();
    await entries.callEach("/often/bad", POISON, 3);
    entries.first.store.returnFrom(copy);
    await pause(3000);
    await using late = await EntrySite.beside(entries.first, "entry-9");
    await late.until(async () => (await late.gauge(SUSPECTS)) > 0);
    await entries.callEach("/often/bad", POISON, 3);
    assert.is(entries.crashes, 2);
  });
});
