/** Load and fault scenarios of the admission measurement. */
import type { Site, SiteSettings } from "./site.js";
import { PREFILL_MS_PER_TOKEN, STEP_MS } from "./site.js";
import { burstRate, type CallStream } from "./workload.js";

export interface AdmissionScenario {
  readonly name: string;
  readonly settings?: Partial<SiteSettings>;
  /** Streams, each with the fraction of the site's capacity that it demands. */
  readonly streams: readonly {
    readonly stream: CallStream;
    readonly load: number;
  }[];
  readonly injectFaults?: (site: Site) => void;
  /** How often a client retries a failed or refused call; default 0. */
  readonly clientRetries?: number;
}

const DRAFT: CallStream = {
  account: "a",
  profile: "drafts",
  priority: 5,
  deadlineMs: 10_000,
  promptTokens: 2048,
  outputTokens: 150,
  prefixCount: 0,
  callsPerSecond: () => 1,
};
const LOOKUP: CallStream = {
  ...DRAFT,
  profile: "lookups",
  priority: 0,
  deadlineMs: 2000,
  promptTokens: 512,
  outputTokens: 30,
};
const LONG: CallStream = {
  ...DRAFT,
  profile: "summaries",
  promptTokens: 4096,
  outputTokens: 800,
  deadlineMs: 60_000,
};

function drafts(
  account: string,
  load: number,
): { stream: CallStream; load: number } {
  return { stream: { ...DRAFT, account }, load };
}

function lookups(load: number): { stream: CallStream; load: number } {
  return { stream: { ...LOOKUP, account: "lookups" }, load };
}

/** Twice the capacity: two large and four small accounts; lookups go first. */
const DOUBLE_LOAD = [
  lookups(0.2),
  drafts("large-1", 0.8),
  drafts("large-2", 0.6),
  ...["small-1", "small-2", "small-3", "small-4"].map((account) =>
    drafts(account, 0.1),
  ),
];

export const OUTAGE_FROM_MS = 20_000;
export const OUTAGE_TO_MS = 50_000;

export const ADMISSION_SCENARIOS: readonly AdmissionScenario[] = [
  { name: "saturation x2", streams: DOUBLE_LOAD },
  {
    name: "saturation x2, 12 entries",
    settings: { entries: 12 },
    streams: DOUBLE_LOAD,
  },
  {
    name: "burst x10",
    streams: [
      lookups(0.1),
      {
        stream: { ...DRAFT, callsPerSecond: burstRate(1, 10, 20_000, 25_000) },
        load: 0.3,
      },
    ],
  },
  {
    name: "one account floods",
    streams: [
      lookups(0.1),
      drafts("flooding", 3),
      ...["b", "c", "d"].map((account) => drafts(account, 0.15)),
    ],
  },
  {
    name: "one slow backend server",
    streams: [lookups(0.15), drafts("a", 0.4), drafts("b", 0.25)],
    injectFaults: (site) => {
      site.clock.schedule(20_000, () => {
        site.runners[3].slowdown = 5;
      });
    },
  },
  {
    name: "long and short",
    streams: [
      lookups(0.2),
      { stream: { ...LONG, account: "long" }, load: 0.8 },
      drafts("short", 0.5),
    ],
  },
  {
    name: "x2 with expert drift",
    streams: DOUBLE_LOAD,
    injectFaults: driftSlowdown,
  },
  {
    name: "outage of 30 s",
    streams: [lookups(0.15), drafts("a", 0.4), drafts("b", 0.2)],
    clientRetries: 3,
    injectFaults: (site) => {
      site.clock.schedule(OUTAGE_FROM_MS, () => {
        for (const runner of site.runners) runner.fail();
      });
      site.clock.schedule(OUTAGE_TO_MS, () => {
        for (const runner of site.runners) runner.isDown = false;
      });
    },
  },
];

/**
 * Slows the groups down in turn, each by up to 60%, as shifting expert
 * popularity does to their slowest ranks.
 */
function driftSlowdown(site: Site): void {
  const PERIOD_MS = 20_000;
  const MAXIMUM_EXTRA_SLOWDOWN = 0.6;
  site.clock.scheduleEvery(1000, 0, () => {
    site.runners.forEach((runner, index) => {
      const group = index >> 2;
      const phase = site.clock.nowMs / PERIOD_MS + group / 3;
      const wave = (1 + Math.sin(2 * Math.PI * phase)) / 2;
      runner.slowdown = 1 + MAXIMUM_EXTRA_SLOWDOWN * wave;
    });
  });
}

/** Scales each stream's rate to its fraction of the capacity. */
export function scaledStreams(
  { streams }: AdmissionScenario,
  slots: number,
): readonly CallStream[] {
  return streams.map(({ stream, load }) => {
    const { promptTokens, outputTokens, callsPerSecond } = stream;
    const serviceMs =
      promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * STEP_MS;
    const factor = (load * slots * 1000) / serviceMs;
    return {
      ...stream,
      callsPerSecond: (nowMs) => callsPerSecond(nowMs) * factor,
    };
  });
}
