/**
 * `npm run demo [-- --site dyfrwr|ben-ammar] [--seed N]`: a whole site on
 * loopback under a mixed load with a few faults. Ends by itself, with exit code
 * 0 only if every promise held.
 */
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { renderTable } from "../src/cli/table.js";
import { createRandom } from "../src/internal.js";
import {
  BYTES_PER_EXPERT,
  EXPERTS,
  LAYERS,
  MODEL_GROUP,
  SERVICE_GROUP,
  siteConfiguration,
  type SiteName,
} from "./configurations.js";
import { drainRunner, silenceRunner, startWave, type Fault } from "./faults.js";
import { startLoad } from "./load.js";
import {
  judgeCalls,
  outcomeHead,
  outcomeRows,
  startsByMarker,
  type Promised,
} from "./promises.js";
import type { SkewSample } from "./site-group.js";
import { startSite, type Site } from "./site.js";
import { runTool, runToolJson } from "./tool-process.js";

const RUNNERS = 12;
const SERVICES = 3;
const STEP_MS = 5;
const CALLS_PER_SECOND = 60;
const AFTER_FAULTS_MS = 4000;
const BETWEEN_FAULTS_MS = 4000;
const EXIT_BROKEN = 1;

const dataCentres: Readonly<Record<SiteName, readonly string[]>> = {
  dyfrwr: ["caerdydd", "abertawe", "casnewydd"],
  "ben-ammar": ["lac", "charguia", "ariana"],
};

const { values } = parseArgs({
  options: {
    site: { type: "string", default: "dyfrwr" },
    seed: { type: "string", default: "1" },
  },
});

function say(text: string): void {
  console.log(text);
}

/** Publishes through the tool; the answer of the first append is lost. */
async function publish(site: Site, name: SiteName): Promise<Promised> {
  const folder = await mkdtemp(path.join(tmpdir(), "apricotdeck-"));
  const file = path.join(folder, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(siteConfiguration(name, RUNNERS)));
  site.log.faults.loseAppendAnswers = 1;
  const { code, stdout, stderr } = await runTool(site, "publish", file);
  say(stdout.trim().split("\n").at(-1) ?? "");
  return {
    name: "a publication is in force everywhere, its append's answer lost",
    held: code === 0,
    detail: code === 0 ? "" : stderr,
  };
}

/** Skew and cost of rebalancing, as far as the site has a lock-step group. */
function judgeMaps(site: Site, before: SkewSample | undefined): Promised[] {
  const { group } = site;
  if (group === undefined) return [];
  const after = group.skew();
  const switches = group.versions().length - 1;
  const bytes = group.weightStore.servedBytes();
  say(
    `skew ${before?.skew.toFixed(3) ?? "?"} before, ${after.skew.toFixed(3)} after; ` +
      `${switches} map switches, ${bytes} bytes of weights moved`,
  );
  const mixed = group.mixedSteps();
  return [
    {
      name: "in every step all ranks use the same expert map",
      held: mixed === 0 && group.steps.length > 0,
      detail: `${mixed} mixed of ${group.steps.length} rank steps`,
    },
    {
      name: "the map follows the demand for experts",
      held: switches > 0,
      detail: `${switches} switches`,
    },
  ];
}

async function judgeConservation(site: Site): Promise<Promised> {
  const status = (await runToolJson(site, "status")) as {
    readonly balanced: boolean;
    readonly conservation: Readonly<Record<string, number>>;
  };
  const counts = Object.entries(status.conservation)
    .map(([name, count]) => `${name} ${count}`)
    .join(", ");
  say(`conservation over all entries: ${counts}`);
  return {
    name: "accepted requests are all accounted for",
    held: status.balanced && status.conservation.inFlight === 0,
    detail: counts,
  };
}

async function runFaults(
  site: Site,
  faults: readonly Fault[],
): Promise<Promised[]> {
  const checks: (() => Promise<Promised>)[] = [];
  for (const { name, cause } of faults) {
    await sleep(BETWEEN_FAULTS_MS);
    say(`fault: ${name}`);
    checks.push(await cause(site));
  }
  await sleep(AFTER_FAULTS_MS);
  return Promise.all(checks.map((check) => check()));
}

async function run(name: SiteName, seed: number): Promise<boolean> {
  const random = createRandom(seed);
  say(`starting ${name}: 3 entries, ${RUNNERS} runners, ${SERVICES} services`);
  await using site = await startSite({
    dataCentres: dataCentres[name],
    entriesPerDataCentre: 1,
    runners: RUNNERS,
    services: SERVICES,
    stepMs: STEP_MS,
    modelGroup: MODEL_GROUP,
    serviceGroup: SERVICE_GROUP,
    group: {
      layers: LAYERS,
      experts: EXPERTS,
      bytesPerExpert: BYTES_PER_EXPERT,
      seed,
    },
  });
  const published = await publish(site, name);
  await site.settled();
  const addresses = site.entries.map((entry) => entry.daemon.process.callers);
  const caller = { site: name, addresses: () => addresses, random };
  say(`load: ${CALLS_PER_SECOND} calls a second`);
  const skewBefore = site.group?.skew();
  const load = startLoad(caller, CALLS_PER_SECOND);
  const faults = [silenceRunner(0), startWave(), drainRunner(1)];
  const afterFaults = await runFaults(site, faults);
  const results = await load.finish();
  say("");
  say(renderTable(outcomeHead, outcomeRows(results)));
  say("");
  const promises = [
    published,
    ...judgeCalls(results, startsByMarker(site)),
    ...afterFaults,
    ...judgeMaps(site, skewBefore),
    await judgeConservation(site),
  ];
  say("");
  for (const { name: promise, held, detail } of promises) {
    say(
      `${held ? "held  " : "BROKEN"}  ${promise}${held ? "" : `: ${detail}`}`,
    );
  }
  return promises.every(({ held }) => held);
}

const held = await run(values.site as SiteName, Number(values.seed));
process.exit(held ? 0 : EXIT_BROKEN);
