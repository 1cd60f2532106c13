/**
 * `npm run measure -- placement [--seed N] [--seconds N] [--only SCENARIO]
 * [--sweep]`: compares runner selection policies on the same scenarios and
 * calls.
 */
import { parseArgs } from "node:util";
import { createRandom } from "../src/internal.js";
import {
  leastInFlight,
  placementChooser,
  randomChoice,
  roundRobin,
  twoChoices,
  type CreateChooser,
} from "./support/choosers.js";
import {
  placementRequest,
  PREFILL_MS_PER_TOKEN,
  Site,
  STEP_MS,
  type SiteSettings,
} from "./support/site.js";
import { percentile, printTable, round, type Row } from "./support/summary.js";
import {
  generateCalls,
  pickEntry,
  type Call,
  type CallStream,
} from "./support/workload.js";

export interface PlacementScenario {
  readonly name: string;
  readonly settings: Partial<SiteSettings>;
  readonly streams: readonly CallStream[];
  /** Demand of the calls over the site's capacity, both without cache hits. */
  readonly load: number;
  readonly injectFaults?: (site: Site) => void;
}

export interface PlacementResult {
  readonly answered: number;
  readonly failed: number;
  /** Percentiles of the time to the first token, in ms. */
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  readonly cachedShare: number;
  readonly attemptsEach: number;
}

const MAXIMUM_ATTEMPTS = 3;
const SITE_DEFAULTS: Omit<SiteSettings, "seed" | "chooser"> = {
  runners: 12,
  slots: 8,
  entries: 3,
  reportMs: 200,
  reportLagMs: 100,
  cacheLagMs: 300,
  cacheLoss: 0.05,
  cacheBlocks: 400,
};

const DRAFTS: CallStream = {
  account: "crews",
  profile: "normal",
  priority: 5,
  deadlineMs: 60_000,
  promptTokens: 2048,
  outputTokens: 150,
  prefixCount: 0,
  callsPerSecond: () => 1,
};
const SKEWED: CallStream = { ...DRAFTS, promptTokens: 8192, prefixCount: 300 };
const SHORT: CallStream = { ...DRAFTS, promptTokens: 512, outputTokens: 30 };
const LONG: CallStream = { ...DRAFTS, promptTokens: 4096, outputTokens: 1200 };

const FAULT_FROM_MS = 10_000;

export const PLACEMENT_SCENARIOS: readonly PlacementScenario[] = [
  { name: "even", settings: {}, streams: [DRAFTS], load: 0.85 },
  { name: "skewed prefixes", settings: {}, streams: [SKEWED], load: 0.9 },
  {
    name: "one slow",
    settings: {},
    streams: [DRAFTS],
    load: 0.75,
    injectFaults: (site) => {
      site.clock.schedule(FAULT_FROM_MS, () => {
        site.runners[3].slowdown = 5;
      });
    },
  },
  {
    name: "one failing fast",
    settings: {},
    streams: [DRAFTS],
    load: 0.75,
    injectFaults: (site) => {
      site.clock.schedule(FAULT_FROM_MS, () => {
        site.runners[3].fail();
      });
    },
  },
  {
    name: "long and short",
    settings: {},
    // Nine short requests for each long one.
    streams: [{ ...SHORT, callsPerSecond: () => 9 }, LONG],
    load: 0.8,
  },
  {
    name: "stale reports",
    settings: { reportMs: 2000, reportLagMs: 1000 },
    streams: [DRAFTS],
    load: 0.85,
  },
  {
    name: "data centre lost",
    settings: {},
    streams: [DRAFTS],
    load: 0.6,
    injectFaults: loseDataCentre,
  },
  ...[1, 3, 12, 320].map((entries) => ({
    name: `${entries} entries`,
    settings: { entries, runners: 48 },
    streams: [SKEWED],
    load: 0.9,
  })),
];

function loseDataCentre(site: Site): void {
  const lost = site.runners.filter((_, index) => index % 3 === 1);
  site.clock.schedule(FAULT_FROM_MS, () => {
    for (const runner of lost) runner.fail();
  });
  site.clock.schedule(2 * FAULT_FROM_MS, () => {
    for (const runner of lost) runner.isDown = false;
  });
}

/** Scales the streams so that their total demand is `load` of the capacity. */
function scaledStreams(
  streams: readonly CallStream[],
  load: number,
  slots: number,
): readonly CallStream[] {
  const demand = streams.reduce(
    (sum, stream) => sum + stream.callsPerSecond(0) * meanServiceMs(stream),
    0,
  );
  const factor = (load * slots * 1000) / demand;
  return streams.map((stream) => ({
    ...stream,
    callsPerSecond: (nowMs) => stream.callsPerSecond(nowMs) * factor,
  }));
}

export function meanServiceMs(stream: CallStream): number {
  const { promptTokens, outputTokens } = stream;
  return promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * STEP_MS;
}

export function runPlacement(
  scenario: PlacementScenario,
  chooser: CreateChooser,
  seed: number,
  durationMs: number,
): PlacementResult {
  const settings = { ...SITE_DEFAULTS, ...scenario.settings, seed, chooser };
  const site = Site.create(settings);
  const { load } = scenario;
  const slots = settings.runners * settings.slots;
  const streams = scaledStreams(scenario.streams, load, slots);
  const calls = generateCalls(streams, durationMs, createRandom(seed));
  const tally = new PlacementTally();
  const balancer = createRandom(seed + 1);
  for (const call of calls) {
    const entry = pickEntry(balancer, settings.entries);
    site.clock.schedule(call.atMs, () => {
      sendAttempt(site, entry, call, [], tally);
    });
  }
  scenario.injectFaults?.(site);
  site.clock.runUntil(durationMs + DRAFTS.deadlineMs);
  return tally.summarise(calls, site.attempts);
}

function sendAttempt(
  site: Site,
  entry: number,
  call: Call,
  excluded: readonly string[],
  tally: PlacementTally,
): void {
  const request = placementRequest(call, call.outputTokens, excluded);
  const choice = site.choose(entry, request);
  site.send(entry, {
    call,
    placed: { request, choice },
    onFirstToken: () => {
      tally.firstTokens.push(site.clock.nowMs - call.atMs);
    },
    onEnded: ({ cachedTokens }) => {
      tally.answered += 1;
      tally.cachedTokens += cachedTokens;
    },
    onFailed: () => {
      const failedRunners = [...excluded, choice.runner];
      if (failedRunners.length >= MAXIMUM_ATTEMPTS) tally.failed += 1;
      else sendAttempt(site, entry, call, failedRunners, tally);
    },
    onRefused: () => undefined,
  });
}

class PlacementTally {
  readonly firstTokens: number[] = [];
  answered = 0;
  failed = 0;
  cachedTokens = 0;

  summarise(calls: readonly Call[], attempts: number): PlacementResult {
    const prompts = calls.reduce((sum, call) => sum + call.promptTokens, 0);
    return {
      answered: this.answered,
      failed: this.failed,
      firstTokenP50: round(percentile(this.firstTokens, 0.5)),
      firstTokenP95: round(percentile(this.firstTokens, 0.95)),
      firstTokenP99: round(percentile(this.firstTokens, 0.99)),
      cachedShare: round(this.cachedTokens / prompts, 3),
      attemptsEach: round(attempts / calls.length, 3),
    };
  }
}

const CHOOSERS: Readonly<Record<string, CreateChooser>> = {
  "round robin": roundRobin,
  random: randomChoice,
  "least in flight": leastInFlight,
  "two choices": twoChoices,
  ours: placementChooser(),
};

/** Choosers with each combination of the tuned constants, for `--sweep`. */
function sweepChoosers(): Readonly<Record<string, CreateChooser>> {
  const choosers: Record<string, CreateChooser> = {};
  for (const samples of [4, 8, 16, 32]) {
    for (const reportDecayMs of [100, 300, 1000]) {
      const name = `${samples} samples, ${reportDecayMs} ms`;
      choosers[name] = placementChooser({
        fullScanLimit: samples,
        sampleCount: samples,
        reportDecayMs,
      });
    }
  }
  return choosers;
}

export function measurePlacement(options: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...options],
    options: {
      seed: { type: "string", default: "1" },
      seconds: { type: "string", default: "60" },
      only: { type: "string", default: "" },
      sweep: { type: "boolean", default: false },
    },
  });
  const seed = Number(values.seed);
  const durationMs = Number(values.seconds) * 1000;
  const choosers = values.sweep ? sweepChoosers() : CHOOSERS;
  const summary: Record<string, Record<string, PlacementResult>> = {};
  for (const scenario of PLACEMENT_SCENARIOS) {
    if (!scenario.name.includes(values.only)) continue;
    const rows: Row[] = [];
    const results: Record<string, PlacementResult> = {};
    for (const [name, chooser] of Object.entries(choosers)) {
      const result = runPlacement(scenario, chooser, seed, durationMs);
      results[name] = result;
      rows.push({ chooser: name, ...result });
    }
    printTable(scenario.name, rows);
    summary[scenario.name] = results;
  }
  console.log(JSON.stringify({ measure: "placement", seed, ...summary }));
  return Promise.resolve();
}
