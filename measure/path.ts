/**
 * `npm run measure -- path`: overhead of entry and agent over direct calls to
 * the stand-in engine. Direct calls and calls through the entry alternate
 * within one run, so that other load on the machine affects both equally.
 */
import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import type { Histogram } from "hdr-histogram-js";
import {
  credentialOf,
  MODEL,
  MODEL_GROUP,
  SERVICE_GROUP,
  siteConfiguration,
} from "../demo/configurations.js";
import { startSite, type Site } from "../demo/site.js";
import { createRandom } from "../src/internal.js";
import type { Measurement } from "./measurements.js";
import {
  countTokens,
  createHistogram,
  createTarget,
  openLoop,
  timeCall,
  type Target,
} from "./path-load.js";

const RUNNERS = 4;
const STREAM_STEP_MS = 2;
const KIB_PER_MIB = 1024;
const SHORT_ANSWER_TOKENS = 4;

interface PairedHistograms {
  readonly direct: Histogram;
  readonly through: Histogram;
}

interface StreamRate {
  readonly tokensPerSecond: number;
  readonly streams: number;
}

export const measurePath: Measurement = async (args) => {
  const { values } = parseArgs({
    args: [...args],
    options: {
      rate: { type: "string", default: "500" },
      seconds: { type: "string", default: "10" },
      streams: { type: "string", default: "128" },
      tokens: { type: "string", default: "2000" },
      seed: { type: "string", default: "1" },
    },
  });
  const perSecond = Number(values.rate);
  const seconds = Number(values.seconds);
  const random = createRandom(Number(values.seed));
  const streams = Number(values.streams);
  const tokens = Number(values.tokens);

  const idleMib = await measureIdleMemory();
  const paired = await measureShortCalls(perSecond, seconds, random);
  const direct = await measureStreams(streams, tokens, "direct");
  const through = await measureStreams(streams, tokens, "through");
  printReport(paired, direct, through, idleMib, perSecond);
};

async function startEngines(stepMs: number): Promise<{
  addresses: string[];
  children: ChildProcess[];
}> {
  const file = fileURLToPath(new URL("path-engine.js", import.meta.url));
  const children = Array.from({ length: RUNNERS }, () =>
    fork(file, [String(stepMs)], {
      stdio: ["ignore", "pipe", "inherit", "ipc"],
    }),
  );
  const addresses = await Promise.all(children.map(firstLine));
  return { addresses, children };
}

async function firstLine({ stdout }: ChildProcess): Promise<string> {
  if (stdout === null) return "";
  const [data] = (await once(stdout, "data")) as [Buffer];
  return data.toString().trim();
}

async function withSite(
  stepMs: number,
  measureSite: (site: Site, engines: readonly string[]) => Promise<void>,
): Promise<void> {
  const { addresses, children } = await startEngines(stepMs);
  try {
    await using site = await startSite({
      dataCentres: ["caerdydd"],
      entriesPerDataCentre: 1,
      runners: RUNNERS,
      services: 0,
      stepMs,
      modelGroup: MODEL_GROUP,
      serviceGroup: SERVICE_GROUP,
      logLevel: "warn",
      engineAddresses: addresses,
    });
    await site.publish(siteConfiguration("dyfrwr", RUNNERS));
    await site.waitUntilReady();
    await measureSite(site, addresses);
  } finally {
    for (const child of children) child.kill();
  }
}

function entryTarget(site: Site): Target {
  const address = `http://${site.entries[0].daemon.process.callers}`;
  const authorization = `Bearer ${credentialOf("dyfrwr", 0)}`;
  return createTarget(address, { authorization });
}

async function measureShortCalls(
  perSecond: number,
  seconds: number,
  random: () => number,
): Promise<PairedHistograms> {
  const paired = { direct: createHistogram(), through: createHistogram() };
  await withSite(1, async (site, engines) => {
    const through = entryTarget(site);
    const direct = engines.map((address) => createTarget(address, {}));
    let calls = 0;
    const call = async (histograms: PairedHistograms): Promise<void> => {
      calls += 1;
      const callNumber = calls;
      const isDirect = callNumber % 2 === 0;
      const target = isDirect ? direct[(callNumber / 2) % RUNNERS] : through;
      const body = shortBody(callNumber);
      const headers = {
        ...target.headers,
        "x-request-id": `call-${callNumber}`,
      };
      const latencyUs = await timeCall({ ...target, headers }, body);
      histograms[isDirect ? "direct" : "through"].recordValue(latencyUs);
    };
    const warmUp = { direct: createHistogram(), through: createHistogram() };
    // Each route takes every second call, so the total rate is doubled.
    const rate = 2 * perSecond;
    await openLoop({
      perSecond: rate,
      seconds: 3,
      random,
      call: () => call(warmUp),
    });
    await openLoop({
      perSecond: rate,
      seconds,
      random,
      call: () => call(paired),
    });
  });
  return paired;
}

function shortBody(callNumber: number): string {
  const prompt = `site note ${callNumber}`;
  return JSON.stringify({
    model: MODEL,
    prompt,
    max_tokens: SHORT_ANSWER_TOKENS,
  });
}

async function measureStreams(
  streams: number,
  tokens: number,
  route: "direct" | "through",
): Promise<StreamRate> {
  let tokensPerSecond = 0;
  await withSite(STREAM_STEP_MS, async (site, engines) => {
    const through = entryTarget(site);
    const direct = engines.map((address) => createTarget(address, {}));
    const targetOf = (index: number): Target =>
      route === "through" ? through : direct[index % RUNNERS];
    const runStreams = async (tokenCount: number): Promise<number> => {
      const calls = Array.from({ length: streams }, (_, index) => {
        const target = targetOf(index);
        const id = `${route}-${tokenCount}-${index}`;
        const headers = { ...target.headers, "x-request-id": id };
        const prompt = `long draft ${id}`;
        const body = {
          model: MODEL,
          prompt,
          max_tokens: tokenCount,
          stream: true,
        };
        return countTokens({ ...target, headers }, JSON.stringify(body));
      });
      return (await Promise.all(calls)).reduce((sum, part) => sum + part, 0);
    };
    await runStreams(200);
    const startedAtMs = performance.now();
    const total = await runStreams(tokens);
    tokensPerSecond = total / ((performance.now() - startedAtMs) / 1000);
  });
  return { tokensPerSecond, streams };
}

/** Resident memory of an idle entry and an idle agent in MiB. */
async function measureIdleMemory(): Promise<{ entry: number; agent: number }> {
  const idle = { entry: 0, agent: 0 };
  await withSite(1, (site) => {
    idle.entry = residentMib(site.entries[0].daemon.process.child.pid);
    idle.agent = residentMib(site.runners[0].daemon.process.child.pid);
    return Promise.resolve();
  });
  return idle;
}

function residentMib(pid: number | undefined): number {
  const text = readFileSync(`/proc/${String(pid)}/status`, "utf8");
  const [, kib = "0"] = /VmRSS:\s+(\d+)/.exec(text) ?? [];
  return Math.round(Number(kib) / KIB_PER_MIB);
}

function printReport(
  { direct, through }: PairedHistograms,
  directRate: StreamRate,
  throughRate: StreamRate,
  idleMib: { entry: number; agent: number },
  requestsPerSecond: number,
): void {
  const percentileUs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile);
  const row = (name: string, histogram: Histogram): string =>
    `${name.padEnd(10)} p50 ${percentileUs(histogram, 50)} us, p99 ${percentileUs(histogram, 99)} us, calls ${histogram.totalCount}`;
  console.log(row("direct", direct));
  console.log(row("through", through));
  const roundedRate = (rate: StreamRate): number =>
    Math.round(rate.tokensPerSecond);
  console.log(
    `streams    direct ${roundedRate(directRate)} tokens/s, through ${roundedRate(throughRate)} tokens/s`,
  );
  console.log(
    JSON.stringify({
      measurement: "path",
      requestsPerSecond,
      addedP50Us: percentileUs(through, 50) - percentileUs(direct, 50),
      addedP99Us: percentileUs(through, 99) - percentileUs(direct, 99),
      directP50Us: percentileUs(direct, 50),
      directP99Us: percentileUs(direct, 99),
      streams: throughRate.streams,
      directTokensPerSecond: roundedRate(directRate),
      throughTokensPerSecond: roundedRate(throughRate),
      idleEntryMib: idleMib.entry,
      idleAgentMib: idleMib.agent,
    }),
  );
}
