/**
 * `npm run measure -- admission [--seed N] [--seconds N] [--only SCENARIO]
 * [--sweep]`: goodput, fairness, refusals and retries under load as callers see
 * them, compared with a plain queue.
 */
import { parseArgs } from "node:util";
import { createRandom } from "../src/internal.js";
import {
  ADMISSION_SCENARIOS,
  scaledStreams,
  type AdmissionScenario,
} from "./support/admission-scenarios.js";
import { placementChooser } from "./support/choosers.js";
import {
  createAdmissionEntry,
  createPlainEntry,
  type CreateEntry,
  type Entry,
  type Outcome,
} from "./support/entries.js";
import {
  evaluateCalls,
  type AdmissionResult,
} from "./support/admission-result.js";
import { Site, type SiteSettings } from "./support/site.js";
import { printTable, type Row } from "./support/summary.js";
import { generateCalls, pickEntry, type Call } from "./support/workload.js";

const SITE_DEFAULTS: Omit<SiteSettings, "seed"> = {
  runners: 12,
  slots: 8,
  entries: 3,
  chooser: placementChooser(),
  reportMs: 200,
  reportLagMs: 100,
  cacheLagMs: 300,
  cacheLoss: 0.05,
  cacheBlocks: 400,
  queueShare: 0.5,
};
/** Excluded from the results, as the queues are still filling. */
const WARM_UP_MS = 10_000;
const CLIENT_RETRY_DELAY_MS = 1000;

export function runAdmission(
  scenario: AdmissionScenario,
  createEntry: CreateEntry,
  seed: number,
  durationMs: number,
): AdmissionResult {
  const site = Site.create({ ...SITE_DEFAULTS, ...scenario.settings, seed });
  const { entries, runners, slots } = site.settings;
  const entryModels = Array.from({ length: entries }, (_, index) =>
    createEntry(site, index),
  );
  const streams = scaledStreams(scenario, runners * slots);
  const calls = generateCalls(streams, durationMs, createRandom(seed));
  const outcomes: Outcome[] = [];
  const balancer = createRandom(seed + 1);
  const retries = scenario.clientRetries ?? 0;
  for (const call of calls) {
    site.clock.schedule(call.atMs, () => {
      callWithRetries(site, entryModels, balancer, call, retries, outcomes);
    });
  }
  scenario.injectFaults?.(site);
  site.clock.runUntil(durationMs);
  return evaluateCalls(outcomes, calls, site, {
    fromMs: WARM_UP_MS,
    toMs: durationMs,
  });
}

/** Makes a call and retries it after the delay that the outcome names. */
function callWithRetries(
  site: Site,
  entryModels: readonly Entry[],
  balancer: () => number,
  call: Call,
  retries: number,
  outcomes: Outcome[],
): void {
  const entry = entryModels[pickEntry(balancer, entryModels.length)];
  entry.onCall(call, (outcome) => {
    outcomes.push(outcome);
    const isAnswered = outcome.kind === "answered" || outcome.kind === "late";
    if (isAnswered || retries === 0) return;
    const retryDelayMs = outcome.retryAfterMs || CLIENT_RETRY_DELAY_MS;
    site.clock.schedule(retryDelayMs, () => {
      const retryCall = { ...call, id: `${call.id}+`, atMs: site.clock.nowMs };
      callWithRetries(
        site,
        entryModels,
        balancer,
        retryCall,
        retries - 1,
        outcomes,
      );
    });
  });
}

const ENTRY_POLICIES: Readonly<Record<string, CreateEntry>> = {
  "plain queue": createPlainEntry,
  ours: createAdmissionEntry,
};

/** Entries with each combination of the tuned constants, for `--sweep`. */
function sweepPolicies(): Readonly<Record<string, CreateEntry>> {
  const policies: Record<string, CreateEntry> = {};
  for (const waitShare of [0.25, 0.5, 0.75]) {
    for (const serviceMargin of [1, 2, 3]) {
      const name = `wait ${waitShare}, margin ${serviceMargin}`;
      const tuning = { waitShare, serviceMargin };
      policies[name] = (site, entry) =>
        createAdmissionEntry(site, entry, tuning);
    }
  }
  return policies;
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
  const policies = values.sweep ? sweepPolicies() : ENTRY_POLICIES;
  const summary: Record<string, Record<string, AdmissionResult>> = {};
  for (const scenario of ADMISSION_SCENARIOS) {
    if (!scenario.name.includes(values.only)) continue;
    const rows: Row[] = [];
    const results: Record<string, AdmissionResult> = {};
    for (const [policy, createEntry] of Object.entries(policies)) {
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
