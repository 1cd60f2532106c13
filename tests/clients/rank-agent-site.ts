/** An agent process of the direct path, beside a runner without a group. */
import { KeyedStore } from "../../standins/keyed-store.js";
import { sendJson, startServer } from "../../standins/http.js";
import { RankClient } from "../../src/rankmaps/rank-client.js";
import { PLAIN_TRANSPORT } from "../../src/rankmaps/rank-connections.js";
import {
  MeasuredProcess,
  type ProcessLimits,
} from "../support/measured-process.js";
import {
  PLATFORM_PROGRAM,
  SETTINGS_VARIABLE,
  freeAddress,
} from "../support/platform-program.js";
import { tryAgain } from "./ordinary-client.js";

export interface RankAgentSite extends AsyncDisposable {
  readonly process: MeasuredProcess;
  readonly peers: string;
  readonly metrics: string;
  /** Whether a planner's question is answered, which is asked a few times. */
  readonly answersPeers: () => Promise<boolean>;
}

export async function startRankAgentSite(
  limits: ProcessLimits,
): Promise<RankAgentSite> {
  const store = await KeyedStore.create();
  const runner = await startServer(({ response }) => {
    sendJson(response, { step: 1, mapping: 0 });
  });
  const peers = await freeAddress();
  const metrics = await freeAddress();
  const process = MeasuredProcess.start({
    program: PLATFORM_PROGRAM,
    settingsVariable: SETTINGS_VARIABLE,
    settings: {
      role: "agent",
      name: "agent-1",
      dataCentre: "here",
      store: { address: store.address },
      runner: new URL(runner.address).host,
      peers,
      service: "service",
      metrics,
    },
    limits,
  });
  const answersPeers = (): Promise<boolean> => isAnswered(peers);
  if (!(await answersPeers())) throw new TypeError(process.output);
  return {
    process,
    peers,
    metrics,
    answersPeers,
    async [Symbol.asyncDispose]() {
      await process[Symbol.asyncDispose]();
      await runner[Symbol.asyncDispose]();
      await store[Symbol.asyncDispose]();
    },
  };
}

async function isAnswered(peers: string): Promise<boolean> {
  const answer = await tryAgain(async () => {
    using client = RankClient.create(peers, PLAIN_TRANSPORT);
    try {
      return await client.observe({ withCounts: false, withExperts: false });
    } catch {
      return undefined;
    }
  });
  return answer !== undefined;
}
