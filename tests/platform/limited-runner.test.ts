import * as assert from "uvu/assert";
import {
  SETTLING_MS,
  WINDOW_MS,
  allowedInWindow,
  mostInWindow,
} from "../../fuzz/limits/oracle.js";
import { answerWith, namingLimit } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite } from "./entry-site.js";

const ENTRIES = 4;
const LIMIT = 1;
/** Interval at which the callers of each entry send requests, ms. */
const CALL_INTERVAL_MS = 50;
/** Time after which all entries have heard of the end of the limit, ms. */
const END_HEARD_MS = 5000;

class LimitedSite implements AsyncDisposable {
  limit: number | undefined = LIMIT;
  statuses: number[] = [];

  private constructor(private readonly sites: readonly EntrySite[]) {}

  /** Starts entries before two runners, of which the first names a limit. */
  static async create(): Promise<LimitedSite> {
    const first = await EntrySite.create();
    first.configure({});
    const sites = [first];
    const site = new LimitedSite(sites);
    await first.addRunner(namingLimit(() => site.limit, answerWith("ok")));
    await first.addRunner(answerWith("ok"));
    for (let index = 1; index < ENTRIES; index += 1) {
      sites.push(await EntrySite.addEntry(first, `entry-${index + 1}`));
    }
    for (const one of sites) {
      await one.waitUntil(async () => (await one.readiness()) === 200);
      await one.waitUntil(() => one.entry.runnerCount === 2);
    }
    return site;
  }

  /** Sends requests through all entries for the time. */
  async load(durationMs: number): Promise<void> {
    await Promise.all(
      this.sites.map((site) => this.loadEntry(site, durationMs)),
    );
  }

  /** Times at which the limited runner got requests since then, ms. */
  arrivalsSince(fromMs: number): readonly number[] {
    return this.sites[0].runners[0].receivedRequests
      .map(({ receivedAtMs }) => receivedAtMs)
      .filter((atMs) => atMs >= fromMs);
  }

  async limitedRunners(): Promise<readonly number[]> {
    return Promise.all(
      this.sites.map((site) => site.gauge("apricotdeck_limited_runners")),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const site of [...this.sites].reverse()) {
      await site[Symbol.asyncDispose]();
    }
  }

  private async loadEntry(site: EntrySite, durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      const { status } = await site.call({ path: "/often/a" });
      this.statuses.push(status);
      await pause(CALL_INTERVAL_MS);
    }
  }
}

describe("a runner that names a limit", () => {
  it("gets no more than it allows from all entries together", async () => {
    // Guards against entries that ignore the limit, or that each use all of it.
    await using site = await LimitedSite.create();
    const startedAtMs = performance.now();
    await site.load(SETTLING_MS + WINDOW_MS);
    const arrivals = site.arrivalsSince(startedAtMs + SETTLING_MS);
    const most = mostInWindow(arrivals);
    assert.ok(most <= allowedInWindow(LIMIT), `${most}`);
    assert.ok(most > 0, "the runner is still used");
    assert.equal(new Set(site.statuses), new Set([200]));
    assert.equal(await site.limitedRunners(), Array(ENTRIES).fill(1));
  });

  it("gets its share again once it names none", async () => {
    await using site = await LimitedSite.create();
    await site.load(1000);
    site.limit = undefined;
    await site.load(END_HEARD_MS);
    const startedAtMs = performance.now();
    await site.load(1000);
    assert.ok(site.arrivalsSince(startedAtMs).length > LIMIT * ENTRIES);
    assert.equal(await site.limitedRunners(), Array(ENTRIES).fill(0));
  });
});
