/**
 * `npm run demo [-- --site dyfrwr|ben-ammar] [--seed N]`: runs a complete site
 * on loopback under a mixed load and injects a few faults. Exits by itself,
 * with code 0 only if every check passed.
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
import {
  drainRunner,
  silenceRunner,
  shiftDemand,
  type Fault,
} from "./faults.js";
import { startLoad } from "./load.js";
import {
  checkCalls,
  outcomeHeader,
  outcomeRows,
  startsByMarker,
  type CheckResult,
} from "./run-checks.js";
import type { SkewSample } from "./site-group.js";
import { startSite, type Site } from "./site.js";
import { runTool, runToolJson } from "./tool-process.js";

const RUNNER_COUNT = 12;
const SERVICE_COUNT = 3;
const STEP_MS = 5;
const CALLS_PER_SECOND = 60;
const SETTLE_AFTER_FAULTS_MS = 4000;
const EXIT_FAILED = 1;

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

function print(text: string): void {
  console.log(text);
}

/** Publishes with the command-line tool; the first append gets no response. */
async function publish(site: Site, name: SiteName): Promise<CheckResult> {
  const folder = await mkdtemp(path.join(tmpdir(), "apricotdeck-"));
  const file = path.join(folder, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(siteConfiguration(name, RUNNER_COUNT)));
  site.log.faults.dropAppendResponses = 1;
  const { code, stdout, stderr } = await runTool(site, "publish", file);
  print(stdout.trim().split("\n").at(-1) ?? "");
  return {
    name: "a publication takes effect everywhere although its append got no response",
    hasPassed: code === 0,
    detail: code === 0 ? "" : stderr,
  };
}

/** Checks rebalancing and prints skew and cost, if the site has a group. */
function checkMaps(site: Site, before: SkewSample | undefined): CheckResult[] {
  const { group } = site;
  if (group === undefined) return [];
  const after = group.skew();
  const switches = group.versions().length - 1;
  const bytes = group.weightStore.servedBytes();
  print(
    `skew ${before?.skew.toFixed(3) ?? "?"} before, ${after.skew.toFixed(3)} after; ` +
      `${switches} map switches, ${bytes} bytes of weights moved`,
  );
  const mixed = group.countMixedSteps();
  return [
    {
      name: "all ranks use the same expert map in every step",
      hasPassed: mixed === 0 && group.steps.length > 0,
      detail: `${mixed} of ${group.steps.length} rank steps used another map`,
    },
    {
      name: "the map follows the demand for experts",
      hasPassed: switches > 0,
      detail: `${switches} map switches`,
    },
  ];
}

async function checkConservation(site: Site): Promise<CheckResult> {
  const status = (await runToolJson(site, "status")) as {
    readonly balanced: boolean;
    readonly conservation: Readonly<Record<string, number>>;
  };
  const counts = Object.entries(status.conservation)
    .map(([name, count]) => `${name} ${count}`)
    .join(", ");
  print(`conservation over all entries: ${counts}`);
  return {
    name: "accepted requests are all accounted for",
    hasPassed: status.balanced && status.conservation.inFlight === 0,
    detail: counts,
  };
}

async function runFaults(
  site: Site,
  faults: readonly Fault[],
): Promise<CheckResult[]> {
  const checks: (() => Promise<CheckResult>)[] = [];
  for (const { name, delayMs, inject } of faults) {
    await sleep(delayMs);
    print(`fault: ${name}`);
    checks.push(await inject(site));
  }
  await sleep(SETTLE_AFTER_FAULTS_MS);
  return Promise.all(checks.map((check) => check()));
}

async function runDemo(name: SiteName, seed: number): Promise<boolean> {
  const random = createRandom(seed);
  print(
    `starting ${name}: 3 entries, ${RUNNER_COUNT} runners, ${SERVICE_COUNT} services`,
  );
  await using site = await startSite({
    dataCentres: dataCentres[name],
    entriesPerDataCentre: 1,
    runners: RUNNER_COUNT,
    services: SERVICE_COUNT,
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
  await site.waitUntilReady();
  const addresses = site.entries.map((entry) => entry.daemon.process.callers);
  const skewBefore = await site.group?.waitForSkew();
  const caller = { site: name, addresses: () => addresses, random };
  print(`load: ${CALLS_PER_SECOND} calls a second`);
  const load = startLoad(caller, CALLS_PER_SECOND);
  const faults = [silenceRunner(0), shiftDemand(), drainRunner(1)];
  const afterFaults = await runFaults(site, faults);
  const results = await load.finish();
  print("");
  print(renderTable(outcomeHeader, outcomeRows(results)));
  print("");
  const checks = [
    published,
    ...checkCalls(results, startsByMarker(site)),
    ...afterFaults,
    ...checkMaps(site, skewBefore),
    await checkConservation(site),
  ];
  print("");
  // Operators' tools match these prefixes.
  for (const { name: check, hasPassed, detail } of checks) {
    print(
      `${hasPassed ? "held  " : "BROKEN"}  ${check}${hasPassed ? "" : `: ${detail}`}`,
    );
  }
  return checks.every(({ hasPassed }) => hasPassed);
}

const hasPassed = await runDemo(values.site as SiteName, Number(values.seed));
process.exit(hasPassed ? 0 : EXIT_FAILED);
