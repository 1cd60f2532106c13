/** An entry and an agent of the path with sessions, beside a plain service. */
import { fileURLToPath } from "node:url";
import {
  credentialOf,
  SERVICE,
  SERVICE_GROUP,
  siteConfiguration,
} from "../../demo/configurations.js";
import { publish, readStatus } from "../../demo/site.js";
import { startLog } from "../../standins/log.js";
import { startPlainService } from "../../standins/plain-service.js";
import { startVmList } from "../../standins/vm-list.js";
import {
  MeasuredProcess,
  type ProcessLimits,
} from "../support/measured-process.js";
import { pause } from "../support/wait.js";
import type { HeadLines } from "./behaviours.js";
import { tryAgain } from "./ordinary-client.js";

const PROGRAM = fileURLToPath(
  new URL("../../src/daemon/main.js", import.meta.url),
);
const DATA_CENTRE = "caerdydd";
const ENTRY = "entry-0";
const AGENT = "service-0";
const POLL_INTERVAL_MS = 50;
/** Enough that bodies of the largest size are queued. */
const QUEUED_TOKENS = 1_000_000_000;
const LARGEST_WAIT_MS = 30_000;

export interface Addresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

/** Requests of the second one may run at most once. */
export type Profile = "records" | "orders";

export interface SessionSite extends AsyncDisposable {
  readonly entry: MeasuredProcess;
  readonly agent: MeasuredProcess;
  readonly entryAddresses: Addresses;
  readonly agentAddresses: Addresses;
  /** Heads of requests to the service under a profile. */
  readonly headLinesOf: (profile: Profile) => HeadLines;
  /** Whether an ordinary request is answered, which is tried a few times. */
  readonly answersOrdinaryRequest: () => Promise<boolean>;
}

export interface SessionSiteLimits {
  readonly entry: ProcessLimits;
  readonly agent: ProcessLimits;
}

export async function startSessionSite(
  limits: SessionSiteLimits,
  serviceDelayMs = 0,
): Promise<SessionSite> {
  const log = await startLog();
  const vmList = await startVmList();
  const service = await startPlainService();
  service.faults.delayMs = serviceDelayMs;
  const common = {
    dataCentre: DATA_CENTRE,
    platform: { log: log.address, vmList: vmList.address },
    logLevel: "warn",
  };
  const agent = MeasuredProcess.start({
    program: PROGRAM,
    settings: {
      ...common,
      role: "agent",
      name: AGENT,
      group: SERVICE_GROUP,
      runner: { address: service.address, kind: "service" },
    },
    limits: limits.agent,
  });
  const entry = MeasuredProcess.start({
    program: PROGRAM,
    settings: { ...common, role: "entry", name: ENTRY },
    limits: limits.entry,
  });
  const entryAddresses = await readAddresses(entry);
  const agentAddresses = await readAddresses(agent);
  vmList.setVms([
    vmOf(ENTRY, "entry", entryAddresses),
    { ...vmOf(AGENT, "backend", agentAddresses), group: SERVICE_GROUP },
  ]);
  await publish(log.address, configuration());
  await waitUntilReady(entryAddresses);
  return {
    entry,
    agent,
    entryAddresses,
    agentAddresses,
    headLinesOf: (profile) => () => [
      `POST /services/${SERVICE}/records HTTP/1.1`,
      "host: entry",
      `authorization: Bearer ${credentialOf("dyfrwr", 0)}`,
      `apricotdeck-profile: ${profile}`,
    ],
    answersOrdinaryRequest: () => isAnswered(entryAddresses),
    async [Symbol.asyncDispose]() {
      const owned = [entry, agent, service, vmList, log];
      for (const part of owned) await part[Symbol.asyncDispose]();
    },
  };
}

function configuration(): unknown {
  const base = siteConfiguration("dyfrwr", 1);
  const queue = {
    maximumTokens: QUEUED_TOKENS,
    maximumWaitMs: LARGEST_WAIT_MS,
  };
  const profiles = base.profiles.map((profile) => ({ ...profile, queue }));
  return { ...base, profiles };
}

function vmOf(
  name: string,
  role: "entry" | "backend",
  { peers: address, operators }: Addresses,
) {
  const state = "live" as const;
  return { name, role, address, operators, dataCentre: DATA_CENTRE, state };
}

async function readAddresses(process: MeasuredProcess): Promise<Addresses> {
  for (;;) {
    const line = /^\{"ready":true.*$/m.exec(process.output)?.[0];
    if (line !== undefined) return JSON.parse(line) as Addresses;
    if (!process.isRunning) throw new TypeError(process.output);
    await pause(POLL_INTERVAL_MS);
  }
}

async function waitUntilReady({ operators }: Addresses): Promise<void> {
  for (;;) {
    const status = (await readStatus(operators)) as {
      readonly version: number | null;
      readonly backends: readonly { readonly live: boolean }[];
    };
    const isLive = status.backends.some(({ live }) => live);
    if (status.version !== null && isLive) return;
    await pause(POLL_INTERVAL_MS);
  }
}

async function isAnswered({ callers }: Addresses): Promise<boolean> {
  const answer = await tryAgain(async () => {
    try {
      const response = await fetch(
        `http://${callers}/services/${SERVICE}/ordinary`,
        {
          method: "POST",
          body: "small",
          headers: {
            authorization: `Bearer ${credentialOf("dyfrwr", 1)}`,
            "apricotdeck-profile": "records",
            connection: "close",
          },
        },
      );
      const text = await response.text();
      const isSound = response.status === 200 && text.includes("small");
      return isSound ? text : undefined;
    } catch {
      // The connection was refused or closed.
      return undefined;
    }
  });
  return answer !== undefined;
}
