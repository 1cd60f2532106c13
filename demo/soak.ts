/**
 * `npm run soak -- --seconds N --seed N`: runs a site of separate processes
 * under a mixed load and injects random faults, one or two at a time. The
 * daemons assert their invariants. Prints the request conservation counts at
 * the end and exits with code 0 only if every check passed.
 */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { renderTable } from "../src/cli/table.js";
import { createRandom, randomBelow, type Random } from "../src/internal.js";
import {
  MODEL_GROUP,
  SERVICE_GROUP,
  siteConfiguration,
} from "./configurations.js";
import type { CallResult } from "./callers.js";
import { startLoad } from "./load.js";
import {
  checkCalls,
  outcomeHeader,
  outcomeRows,
  startsByMarker,
  type CheckResult,
} from "./run-checks.js";
import { startSite, type Site } from "./site.js";
import { runToolJson } from "./tool-process.js";

const EXIT_FAILED = 1;
const CALLS_PER_SECOND = 40;
const SETTLE_MS = 8000;
const MAXIMUM_FAULT_GAP_MS = 4000;
const OUTAGE_MS = 2500;
const PAUSE_MS = 3000;

/** Rest that a backend server asks for, s. */
const REST_SECONDS = 2;
/** Requests that may reach a backend server during its rest. */
const ALLOWED_DURING_REST = 2;

/** When an agent was last restarted or woken up, by its daemon. */
const disturbedAgents = new Map<unknown, number>();
const restlessRunners: string[] = [];

interface RandomFault {
  readonly name: string;
  readonly inject: (site: Site, random: Random) => Promise<void>;
}

function pick<T>(random: Random, items: readonly T[]): T {
  return items[randomBelow(random, items.length)];
}

const faults: readonly RandomFault[] = [
  {
    name: "silent connections",
    inject: (site, random) => {
      pick(random, site.runners).relay.silence();
      return Promise.resolve();
    },
  },
  {
    name: "agent killed and replaced",
    inject: async (site, random) => {
      const { daemon } = pick(random, [...site.runners, ...site.services]);
      disturbedAgents.set(daemon, Number.POSITIVE_INFINITY);
      await daemon.restart();
      disturbedAgents.set(daemon, performance.now());
      site.showVms();
    },
  },
  {
    name: "agent frozen for a while",
    inject: async (site, random) => {
      const { daemon } = pick(random, [...site.runners, ...site.services]);
      const { process } = daemon;
      disturbedAgents.set(daemon, Number.POSITIVE_INFINITY);
      process.kill("SIGSTOP");
      await sleep(PAUSE_MS);
      process.kill("SIGCONT");
      disturbedAgents.set(daemon, performance.now());
    },
  },
  {
    name: "entry frozen for a while",
    inject: async (site, random) => {
      const { process } = pick(random, site.entries).daemon;
      process.kill("SIGSTOP");
      await sleep(PAUSE_MS);
      process.kill("SIGCONT");
    },
  },
  {
    name: "log outage",
    inject: async (site) => {
      site.log.faults.outage = true;
      await sleep(OUTAGE_MS);
      site.log.faults.outage = false;
    },
  },
  {
    name: "log slow, two append answers lost",
    inject: async (site) => {
      site.log.faults.slowMs = 300;
      site.log.faults.dropAppendResponses = 2;
      await sleep(OUTAGE_MS);
      site.log.faults.slowMs = 0;
    },
  },
  {
    name: "slow backend server",
    inject: async (site, random) => {
      const { engine } = pick(random, site.runners);
      engine.faults.slowStepMs = 40;
      await sleep(OUTAGE_MS);
      engine.faults.slowStepMs = 0;
    },
  },
  {
    name: "backend server asks for rest",
    inject: async (site, random) => {
      const { daemon, engine } = pick(random, site.runners);
      if (engine.rest.seconds > 0) return;
      const startedAtMs = performance.now();
      engine.rest.begin(REST_SECONDS);
      await sleep(OUTAGE_MS);
      engine.rest.seconds = 0;
      // An agent that was away meanwhile didn't hear of the rest.
      const disturbedAtMs = disturbedAgents.get(daemon) ?? 0;
      if (disturbedAtMs >= startedAtMs) return;
      const { disturbances } = engine.rest;
      if (disturbances > ALLOWED_DURING_REST) {
        restlessRunners.push(`${disturbances} requests`);
      }
    },
  },
  {
    name: "engine cuts two streams",
    inject: (site, random) => {
      pick(random, site.runners).engine.faults.cutStreams = 2;
      return Promise.resolve();
    },
  },
  {
    name: "list of VMs down",
    inject: async (site) => {
      site.vmList.faults.outage = true;
      await sleep(OUTAGE_MS);
      site.vmList.faults.outage = false;
    },
  },
];

/** Injects one or two faults at random intervals; counts them by name. */
async function injectFaults(
  site: Site,
  random: Random,
  untilMs: number,
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  const pending: Promise<void>[] = [];
  while (Date.now() < untilMs) {
    await sleep(random() * MAXIMUM_FAULT_GAP_MS);
    const faultCount = random() < 0.3 ? 2 : 1;
    for (let index = 0; index < faultCount; index += 1) {
      const fault = pick(random, faults);
      counts.set(fault.name, (counts.get(fault.name) ?? 0) + 1);
      console.log(`fault: ${fault.name}`);
      pending.push(fault.inject(site, random));
    }
    await Promise.all(pending);
  }
  return counts;
}

async function checkConservation(
  site: Site,
): Promise<{ check: CheckResult; counts: Readonly<Record<string, number>> }> {
  const status = (await runToolJson(site, "status")) as {
    readonly balanced: boolean;
    readonly conservation: Readonly<Record<string, number>>;
  };
  const counts = status.conservation;
  const hasPassed = status.balanced && counts.inFlight === 0;
  const name = "accepted requests are all accounted for";
  return { check: { name, hasPassed, detail: JSON.stringify(counts) }, counts };
}

/**
 * Searches the log of each daemon's latest process for event 104
 * (invariant-violated), also if the process has exited.
 */
async function checkInvariants(site: Site): Promise<CheckResult> {
  const members = [...site.entries, ...site.runners, ...site.services];
  const texts = await Promise.all(
    members.map(({ daemon }) => readFile(daemon.process.logFile, "utf8")),
  );
  const lines = texts
    .flatMap((text) => text.split("\n"))
    .filter((line) => line.includes('"event":104,'));
  const detail = lines.at(0) ?? "";
  const name = "no invariant was violated inside a daemon";
  return { name, hasPassed: lines.length === 0, detail };
}

function checkRests(): CheckResult {
  return {
    name: "no backend server got requests while it rested",
    hasPassed: restlessRunners.length === 0,
    detail: restlessRunners.join(", "),
  };
}

function printReport(
  results: readonly CallResult[],
  counts: Readonly<Record<string, number>>,
  checks: readonly CheckResult[],
): void {
  console.log(renderTable(outcomeHeader, outcomeRows(results)));
  console.log("");
  const cells = Object.values(counts).map(String);
  console.log(renderTable(Object.keys(counts), [cells]));
  console.log("");
  // Operators' tools match these prefixes.
  for (const { name, hasPassed, detail } of checks) {
    console.log(
      `${hasPassed ? "held  " : "BROKEN"}  ${name}${hasPassed ? "" : `: ${detail}`}`,
    );
  }
}

async function soak(seconds: number, seed: number): Promise<boolean> {
  const random = createRandom(seed);
  await using site = await startSite({
    dataCentres: ["caerdydd", "abertawe", "casnewydd"],
    entriesPerDataCentre: 1,
    runners: 4,
    services: 2,
    stepMs: 5,
    modelGroup: MODEL_GROUP,
    serviceGroup: SERVICE_GROUP,
  });
  await site.publish(siteConfiguration("dyfrwr", 4));
  await site.waitUntilReady();
  const addresses = site.entries.map(({ daemon }) => daemon.process.callers);
  const load = startLoad(
    {
      site: "dyfrwr",
      addresses: () => addresses,
      random: createRandom(seed + 1),
    },
    CALLS_PER_SECOND,
  );
  const counts = await injectFaults(site, random, Date.now() + seconds * 1000);
  await sleep(SETTLE_MS);
  const results = await load.finish();
  const conservation = await checkConservation(site);
  const checks = [
    ...checkCalls(results, startsByMarker(site)),
    conservation.check,
    checkRests(),
    await checkInvariants(site),
  ];
  printReport(results, conservation.counts, checks);
  const failedCount = checks.filter(({ hasPassed }) => !hasPassed).length;
  console.log(
    JSON.stringify({
      soak: seconds,
      seed,
      calls: results.length,
      faults: Object.fromEntries(counts),
      broken: failedCount,
    }),
  );
  return failedCount === 0;
}

const { values } = parseArgs({
  options: {
    seconds: { type: "string", default: "60" },
    seed: { type: "string", default: "1" },
  },
});

const hasPassed = await soak(Number(values.seconds), Number(values.seed));
process.exit(hasPassed ? 0 : EXIT_FAILED);
