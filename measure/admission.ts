/**
 * `npm run measure -- admission [--seed N] [--seconds N] [--only SCENARIO]
 * [--sweep]`:
 * admission, fairness, refusals and retries under load, judged by callers,
 * against a plain queue.
 */
import { parseArgs } from "node:util";
import { createRandom } from "../src/internal.js";
import {
  ADMISSION_SCENARIOS,
  scaledStreams,
  type AdmissionScenario,
} from "./support/admission-scenarios.js";
import { ours } from "./support/choosers.js";
import {
  createAdmittedEntry,
  createPlainEntry,
  type CreateEntry,
  type Entry,
  type Outcome,
} from "./support/entries.js";
import { judge, type AdmissionResult } from "./support/judge.js";
import { Site, type SiteSettings } from "./support/site.js";
import { printTable, type Row } from "./support/summary.js";
import { drawCalls, entryOf, type Call } from "./support/workload.js";

const SITE: Omit<SiteSettings, "seed"> = {
  runners: 12,
  slots: 8,
  entries: 3,
  chooser: ours(),
  reportMs: 200,
  reportLagMs: 100,
  cacheLagMs: 300,
  cacheLoss: 0.05,
  cacheBlocks: 400,
  queueShare: 0.5,
};
/** Until then the queues fill. */
const WARM_UP_MS = 10_000;
const CLIENT_PAUSE_MS = 1000;

export function runAdmission(
  scenario: AdmissionScenario,
  createEntry: CreateEntry,
  seed: number,
  durationMs: number,
): AdmissionResult {
  const site = Site.create({ ...SITE, ...scenario.settings, seed });
  const { entries, runners, slots } = site.settings;
  const takers = Array.from({ length: entries }, (_, i) =>
    createEntry(site, i),
  );
  const streams = scaledStreams(scenario, runners * slots);
  const calls = drawCalls(streams, durationMs, createRandom(seed));
  const outcomes: Outcome[] = [];
  const balancer = createRandom(seed + 1);
  const repeats = scenario.clientRepeats ?? 0;
  for (const call of calls) {
    site.time.after(call.atMs, () => {
      callUntilAnswered(site, takers, balancer, call, repeats, outcomes);
    });
  }
  scenario.faults?.(site);
  site.time.run(durationMs);
  return judge(outcomes, calls, site, { fromMs: WARM_UP_MS, toMs: durationMs });
}

/** A client that comes back when it was told to. */
function callUntilAnswered(
  site: Site,
  takers: readonly Entry[],
  balancer: () => number,
  call: Call,
  repeats: number,
  outcomes: Outcome[],
): void {
  const taker = takers[entryOf(balancer, takers.length)];
  taker.onCall(call, (outcome) => {
    outcomes.push(outcome);
    const isGood = outcome.kind === "answered" || outcome.kind === "late";
    if (isGood || repeats === 0) return;
    const pauseMs = outcome.retryAfterMs || CLIENT_PAUSE_MS;
    site.time.after(pauseMs, () => {
      const again = { ...call, id: `${call.id}+`, atMs: site.time.nowMs };
      callUntilAnswered(site, takers, balancer, again, repeats - 1, outcomes);
    });
  });
}

const ENTRIES: Readonly<Record<string, CreateEntry>> = {
  "plain queue": createPlainEntry,
  ours: createAdmittedEntry,
};

/** `--sweep`: the figures behind the constants. */
function sweep(): Readonly<Record<string, CreateEntry>> {
  const entries: Record<string, CreateEntry> = {};
  for (const waitShare of [0.25, 0.5, 0.75]) {
    for (const serviceMargin of [1, 2, 3]) {
      const name = `wait ${waitShare}, margin ${serviceMargin}`;
      const tuning = { waitShare, serviceMargin };
      entries[name] = (site, entry) => createAdmittedEntry(site, entry, tuning);
    }
  }
  return entries;
}

export function measureAdmission(options: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...options],
    options: {
      seed: { type: "string", default: "1" },
      seconds: { type: "string", default: "80" },
      only: { type: "string", default: "" },
      sweep: { type: "boolean", default: false },
    },
  });
  const seed = Number(values.seed);
  const durationMs = Number(values.seconds) * 1000;
  const entries = values.sweep ? sweep() : ENTRIES;
  const summary: Record<string, Record<string, AdmissionResult>> = {};
  for (const scenario of ADMISSION_SCENARIOS) {
    if (!scenario.name.includes(values.only)) continue;
    const rows: Row[] = [];
    const results: Record<string, AdmissionResult> = {};
    for (const [policy, createEntry] of Object.entries(entries)) {
      const result = runAdmission(scenario, createEntry, seed, durationMs);
      results[policy] = result;
      rows.push({ policy, ...result });
    }
    printTable(scenario.name, rows);
    summary[scenario.name] = results;
  }
  console.log(JSON.stringify({ measure: "admission", seed, ...summary }));
  return Promise.resolve();
}
