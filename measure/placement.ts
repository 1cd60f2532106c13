/**
 * `npm run measure -- placement [--seed N] [--seconds N] [--only SCENARIO]
 * [--sweep]`: ways to choose a runner, in the same scenarios with the same calls.
 */
import { parseArgs } from "node:util";
import { createRandom } from "../src/internal.js";
import {
  leastInFlight,
  ours,
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
  drawCalls,
  entryOf,
  type Call,
  type Stream,
} from "./support/workload.js";

export interface PlacementScenario {
  readonly name: string;
  readonly settings: Partial<SiteSettings>;
  readonly streams: readonly Stream[];
  /** Part of the capacity without any cache hit that the calls ask for. */
  readonly load: number;
  readonly faults?: (site: Site) => void;
}

export interface PlacementResult {
  readonly answered: number;
  readonly failed: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  readonly cachedShare: number;
  readonly attemptsEach: number;
}

const MOST_ATTEMPTS = 3;
const SITE: Omit<SiteSettings, "seed" | "chooser"> = {
  runners: 12,
  slots: 8,
  entries: 3,
  reportMs: 200,
  reportLagMs: 100,
  cacheLagMs: 300,
  cacheLoss: 0.05,
  cacheBlocks: 400,
};

const DRAFTS: Stream = {
  account: "crews",
  profile: "normal",
  priority: 5,
  deadlineMs: 60_000,
  promptTokens: 2048,
  outputTokens: 150,
  prefixes: 0,
  rate: () => 1,
};
const SKEWED: Stream = { ...DRAFTS, promptTokens: 8192, prefixes: 300 };
const SHORT: Stream = { ...DRAFTS, promptTokens: 512, outputTokens: 30 };
const LONG: Stream = { ...DRAFTS, promptTokens: 4096, outputTokens: 1200 };

const SLOW_FROM_MS = 10_000;

export const SCENARIOS: readonly PlacementScenario[] = [
  { name: "even", settings: {}, streams: [DRAFTS], load: 0.85 },
  { name: "skewed prefixes", settings: {}, streams: [SKEWED], load: 0.9 },
  {
    name: "one slow",
    settings: {},
    streams: [DRAFTS],
    load: 0.75,
    faults: (site) => {
      site.time.after(SLOW_FROM_MS, () => {
        site.runners[3].slowdown = 5;
      });
    },
  },
  {
    name: "one failing fast",
    settings: {},
    streams: [DRAFTS],
    load: 0.75,
    faults: (site) => {
      site.time.after(SLOW_FROM_MS, () => {
        site.runners[3].fail();
      });
    },
  },
  {
    name: "long and short",
    settings: {},
    // Nine short for one long request.
    streams: [{ ...SHORT, rate: () => 9 }, LONG],
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
    faults: loseDataCentre,
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
  site.time.after(SLOW_FROM_MS, () => {
    for (const runner of lost) runner.fail();
  });
  site.time.after(2 * SLOW_FROM_MS, () => {
    for (const runner of lost) runner.isDown = false;
  });
}

/** Scales the streams so that they ask for the wanted part of capacity. */
function scaled(
  streams: readonly Stream[],
  load: number,
  slots: number,
): readonly Stream[] {
  const asked = streams.reduce(
    (sum, stream) => sum + stream.rate(0) * meanServiceMs(stream),
    0,
  );
  const factor = (load * slots * 1000) / asked;
  return streams.map((stream) => ({
    ...stream,
    rate: (nowMs) => stream.rate(nowMs) * factor,
  }));
}

export function meanServiceMs(stream: Stream): number {
  const { promptTokens, outputTokens } = stream;
  return promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * STEP_MS;
}

export function runPlacement(
  scenario: PlacementScenario,
  chooser: CreateChooser,
  seed: number,
  durationMs: number,
): PlacementResult {
  const settings = { ...SITE, ...scenario.settings, seed, chooser };
  const site = Site.create(settings);
  const { load } = scenario;
  const slots = settings.runners * settings.slots;
  const streams = scaled(scenario.streams, load, slots);
  const calls = drawCalls(streams, durationMs, createRandom(seed));
  const results = new Results();
  const balancer = createRandom(seed + 1);
  for (const call of calls) {
    const entry = entryOf(balancer, settings.entries);
    site.time.after(call.atMs, () => {
      attempt(site, entry, call, [], results);
    });
  }
  scenario.faults?.(site);
  site.time.run(durationMs + DRAFTS.deadlineMs);
  return results.summarise(calls, site.attempts);
}

function attempt(
  site: Site,
  entry: number,
  call: Call,
  excluded: readonly string[],
  results: Results,
): void {
  const request = placementRequest(call, call.outputTokens, excluded);
  const choice = site.choose(entry, request);
  site.send(entry, {
    call,
    placed: { request, choice },
    onFirstToken: () => {
      results.firstTokens.push(site.time.nowMs - call.atMs);
    },
    onEnded: ({ cachedTokens }) => {
      results.answered += 1;
      results.cachedTokens += cachedTokens;
    },
    onFailed: () => {
      const tried = [...excluded, choice.runner];
      if (tried.length >= MOST_ATTEMPTS) results.failed += 1;
      else attempt(site, entry, call, tried, results);
    },
    onRefused: () => undefined,
  });
}

class Results {
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
  ours: ours(),
};

/** `--sweep`: the figures behind the constants. */
function sweep(): Readonly<Record<string, CreateChooser>> {
  const choosers: Record<string, CreateChooser> = {};
  for (const samples of [4, 8, 16, 32]) {
    for (const reportTrustMs of [100, 300, 1000]) {
      const name = `${samples} samples, ${reportTrustMs} ms`;
      choosers[name] = ours({ scanUpTo: samples, samples, reportTrustMs });
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
  const choosers = values.sweep ? sweep() : CHOOSERS;
  const summary: Record<string, Record<string, PlacementResult>> = {};
  for (const scenario of SCENARIOS) {
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
