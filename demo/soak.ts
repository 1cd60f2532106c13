/**
 * `npm run soak -- --seconds N --seed N`: a site of separate processes under a
 * mixed load and random faults, alone and together. The daemons assert their
 * invariants; the run ends with the conservation table and exit code 0 only if
 * every promise held.
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
  judgeCalls,
  outcomeHead,
  outcomeRows,
  startsByMarker,
  type Promised,
} from "./promises.js";
import { startSite, type Site } from "./site.js";
import { runToolJson } from "./tool-process.js";

const EXIT_BROKEN = 1;
const CALLS_PER_SECOND = 40;
const SETTLE_MS = 8000;
const LONGEST_GAP_MS = 4000;
const OUTAGE_MS = 2500;
const FREEZE_MS = 3000;

interface RandomFault {
  readonly name: string;
  readonly cause: (site: Site, random: Random) => Promise<void>;
}

function pick<T>(random: Random, items: readonly T[]): T {
  return items[randomBelow(random, items.length)];
}

const faults: readonly RandomFault[] = [
  {
    name: "silent connections",
    cause: (site, random) => {
      pick(random, site.runners).relay.silence();
      return Promise.resolve();
    },
  },
  {
    name: "agent killed and replaced",
    cause: async (site, random) => {
      const members = [...site.runners, ...site.services];
      await pick(random, members).daemon.restart();
      site.showVms();
    },
  },
  {
    name: "agent frozen for a while",
    cause: async (site, random) => {
      const { daemon } = pick(random, [...site.runners, ...site.services]);
      const { process } = daemon;
      process.kill("SIGSTOP");
      await sleep(FREEZE_MS);
      process.kill("SIGCONT");
    },
  },
  {
    name: "entry frozen for a while",
    cause: async (site, random) => {
      const { process } = pick(random, site.entries).daemon;
      process.kill("SIGSTOP");
      await sleep(FREEZE_MS);
      process.kill("SIGCONT");
    },
  },
  {
    name: "log outage",
    cause: async (site) => {
      site.log.faults.outage = true;
      await sleep(OUTAGE_MS);
      site.log.faults.outage = false;
    },
  },
  {
    name: "log slow, two append answers lost",
    cause: async (site) => {
      site.log.faults.slowMs = 300;
      site.log.faults.loseAppendAnswers = 2;
      await sleep(OUTAGE_MS);
      site.log.faults.slowMs = 0;
    },
  },
  {
    name: "slow backend server",
    cause: async (site, random) => {
      const { engine } = pick(random, site.runners);
      engine.faults.slowStepMs = 40;
      await sleep(OUTAGE_MS);
      engine.faults.slowStepMs = 0;
    },
  },
  {
    name: "engine cuts two streams",
    cause: (site, random) => {
      pick(random, site.runners).engine.faults.cutStreams = 2;
      return Promise.resolve();
    },
  },
  {
    name: "list of VMs down",
    cause: async (site) => {
      site.vmList.faults.outage = true;
      await sleep(OUTAGE_MS);
      site.vmList.faults.outage = false;
    },
  },
];

/** One or two at a time, at random moments; returns how often each came. */
async function causeFaults(
  site: Site,
  random: Random,
  untilMs: number,
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  const open: Promise<void>[] = [];
  while (Date.now() < untilMs) {
    await sleep(random() * LONGEST_GAP_MS);
    const together = random() < 0.3 ? 2 : 1;
    for (let index = 0; index < together; index += 1) {
      const fault = pick(random, faults);
      counts.set(fault.name, (counts.get(fault.name) ?? 0) + 1);
      console.log(`fault: ${fault.name}`);
      open.push(fault.cause(site, random));
    }
    await Promise.all(open);
  }
  return counts;
}

async function readConservation(
  site: Site,
): Promise<{ promise: Promised; counts: Readonly<Record<string, number>> }> {
  const status = (await runToolJson(site, "status")) as {
    readonly balanced: boolean;
    readonly conservation: Readonly<Record<string, number>>;
  };
  const counts = status.conservation;
  const held = status.balanced && counts.inFlight === 0;
  const name = "accepted requests are all accounted for";
  return { promise: { name, held, detail: JSON.stringify(counts) }, counts };
}

/** Event 104 in any daemon's log, also of daemons that are gone. */
async function violations(site: Site): Promise<Promised> {
  const members = [...site.entries, ...site.runners, ...site.services];
  const texts = await Promise.all(
    members.map(({ daemon }) => readFile(daemon.process.logFile, "utf8")),
  );
  const lines = texts
    .flatMap((text) => text.split("\n"))
    .filter((line) => line.includes('"event":104,'));
  const detail = lines.at(0) ?? "";
  const name = "no invariant was violated inside a daemon";
  return { name, held: lines.length === 0, detail };
}

function printEnd(
  results: readonly CallResult[],
  counts: Readonly<Record<string, number>>,
  promises: readonly Promised[],
): void {
  console.log(renderTable(outcomeHead, outcomeRows(results)));
  console.log("");
  const cells = Object.values(counts).map(String);
  console.log(renderTable(Object.keys(counts), [cells]));
  console.log("");
  for (const { name, held, detail } of promises) {
    console.log(
      `${held ? "held  " : "BROKEN"}  ${name}${held ? "" : `: ${detail}`}`,
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
  await site.settled();
  const addresses = site.entries.map(({ daemon }) => daemon.process.callers);
  const load = startLoad(
    {
      site: "dyfrwr",
      addresses: () => addresses,
      random: createRandom(seed + 1),
    },
    CALLS_PER_SECOND,
  );
  const counts = await causeFaults(site, random, Date.now() + seconds * 1000);
  await sleep(SETTLE_MS);
  const results = await load.finish();
  const conservation = await readConservation(site);
  const promises = [
    ...judgeCalls(results, startsByMarker(site)),
    conservation.promise,
    await violations(site),
  ];
  printEnd(results, conservation.counts, promises);
  const broken = promises.filter(({ held }) => !held).length;
  console.log(
    JSON.stringify({
      soak: seconds,
      seed,
      calls: results.length,
      faults: Object.fromEntries(counts),
      broken,
    }),
  );
  return broken === 0;
}

const { values } = parseArgs({
  options: {
    seconds: { type: "string", default: "60" },
    seed: { type: "string", default: "1" },
  },
});

const held = await soak(Number(values.seconds), Number(values.seed));
process.exit(held ? 0 : EXIT_BROKEN);
