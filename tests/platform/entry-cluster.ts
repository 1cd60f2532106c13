/** Several entries on one store, and runners that certain requests crash. */
import type {
  Behaviour,
  ReceivedRequest,
} from "../../standins/signing-runner.js";
import { answerWith } from "../../standins/signing-runner.js";
import { pause } from "../support/wait.js";
import {
  EntrySite,
  type CallerAnswer,
  type CallOptions,
} from "./entry-site.js";

/** How long a crashed runner is down, ms. */
export const DOWNTIME_MS = 700;
const RUNNERS = 4;

/** Whether the request crashes the runner that executes it. */
export type IsCrashing = (
  request: Pick<ReceivedRequest, "body" | "headers">,
) => boolean;

export class EntryCluster implements AsyncDisposable {
  private constructor(readonly sites: readonly EntrySite[]) {}

  static async create(
    count: number,
    isCrashing: IsCrashing,
  ): Promise<EntryCluster> {
    const first = await EntrySite.create();
    first.configure({});
    await startRunners(first, isCrashing);
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

  /** Sends a request to each entry in turn and waits after each answer. */
  async callEach(
    rounds: number,
    next: () => CallOptions,
    pauseMs = 0,
  ): Promise<readonly CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    for (let round = 0; round < rounds; round += 1) {
      for (const site of this.sites) {
        answers.push(await site.call(next()));
        await pause(pauseMs);
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

/** Starts runners that answer every request except those that crash them. */
async function startRunners(
  site: EntrySite,
  isCrashing: IsCrashing,
): Promise<void> {
  const serve = answerWith("ok");
  for (let count = 0; count < RUNNERS; count += 1) {
    const runner = await site.addRunner(serve);
    const behave: Behaviour = async (exchange) => {
      if (isCrashing(exchange.received)) void runner.crash(DOWNTIME_MS);
      else await serve(exchange);
    };
    runner.behaviour = behave;
  }
}
