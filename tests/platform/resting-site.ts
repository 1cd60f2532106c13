/** Several entries before runners that ask for rest. */
import type { Behaviour } from "../../standins/signing-runner.js";
import { pause } from "../support/wait.js";
import { EntrySite, type CallerAnswer } from "./entry-site.js";
import { ENTRY_HEADER, RestOracle, withSlots } from "./rest-oracle.js";

/** Rest that the runners ask for, ms. */
export const REST_MS = 1500;
/** Requests that a runner runs at a time. */
export const SLOTS = 2;

export interface RestingSiteOptions {
  readonly entries: number;
  readonly runners: number;
  /** How a runner serves a request for which it has a slot. */
  readonly serve: Behaviour;
}

/** An answer and how long its caller waited. */
export interface TimedAnswer extends CallerAnswer {
  readonly waitedMs: number;
}

export class RestingSite implements AsyncDisposable {
  private constructor(
    readonly entries: readonly EntrySite[],
    readonly oracles: readonly RestOracle[],
  ) {}

  static async create(options: RestingSiteOptions): Promise<RestingSite> {
    const first = await EntrySite.create();
    first.configure({});
    const oracles: RestOracle[] = [];
    for (let index = 0; index < options.runners; index += 1) {
      const oracle: RestOracle = RestOracle.create(
        REST_MS,
        withSlots(SLOTS, options.serve, (exchange) => oracle.refuse(exchange)),
      );
      oracles.push(oracle);
      await first.addRunner(oracle.behaviour, { slots: SLOTS });
    }
    const entries = [first];
    for (let index = 1; index < options.entries; index += 1) {
      entries.push(await EntrySite.addEntry(first, `entry-${index + 1}`));
    }
    for (const entry of entries) {
      await entry.waitUntil(async () => (await entry.readiness()) === 200);
      await entry.waitUntil(() => entry.entry.runnerCount === options.runners);
    }
    return new RestingSite(entries, oracles);
  }

  get first(): EntrySite {
    return this.entries[0];
  }

  get mostDuringRest(): number {
    return Math.max(
      ...this.oracles.map(({ mostDuringRest }) => mostDuringRest),
    );
  }

  /** Sends one request through the entry with this index. */
  async call(path: string, entry = 0): Promise<TimedAnswer> {
    const startedAtMs = performance.now();
    const answer = await this.entries[entry].call({
      path,
      headers: { [ENTRY_HEADER]: String(entry) },
    });
    return { ...answer, waitedMs: performance.now() - startedAtMs };
  }

  /**
   * Sends requests through all entries in turn, whether earlier ones have been
   * answered or not.
   */
  async load(
    path: string,
    requestsPerSecond: number,
    durationMs: number,
  ): Promise<readonly TimedAnswer[]> {
    const count = Math.round((requestsPerSecond * durationMs) / 1000);
    const startedAtMs = performance.now();
    const answers: Promise<TimedAnswer>[] = [];
    for (let index = 0; index < count; index += 1) {
      const dueAtMs = startedAtMs + (index * 1000) / requestsPerSecond;
      await pause(Math.max(0, dueAtMs - performance.now()));
      answers.push(this.call(path, index % this.entries.length));
    }
    return Promise.all(answers);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const entry of [...this.entries].reverse()) {
      await entry[Symbol.asyncDispose]();
    }
  }
}
