/** The loads that admission is judged under. */
import type { Site, SiteSettings } from "./site.js";
import { PREFILL_MS_PER_TOKEN, STEP_MS } from "./site.js";
import { burst, type Stream } from "./workload.js";

export interface AdmissionScenario {
  readonly name: string;
  readonly settings?: Partial<SiteSettings>;
  /** Streams with the part of the capacity that each asks for. */
  readonly streams: readonly {
    readonly stream: Stream;
    readonly load: number;
  }[];
  readonly faults?: (site: Site) => void;
  /** Clients whose call failed come again, as often as this. */
  readonly clientRepeats?: number;
}

const DRAFT: Stream = {
  account: "a",
  profile: "drafts",
  priority: 5,
  deadlineMs: 10_000,
  promptTokens: 2048,
  outputTokens: 150,
  prefixes: 0,
  rate: () => 1,
};
const LOOKUP: Stream = {
  ...DRAFT,
  profile: "lookups",
  priority: 0,
  deadlineMs: 2000,
  promptTokens: 512,
  outputTokens: 30,
};
const LONG: Stream = {
  ...DRAFT,
  profile: "summaries",
  promptTokens: 4096,
  outputTokens: 800,
  deadlineMs: 60_000,
};

function drafts(
  account: string,
  load: number,
): { stream: Stream; load: number } {
  return { stream: { ...DRAFT, account }, load };
}

function lookups(load: number): { stream: Stream; load: number } {
  return { stream: { ...LOOKUP, account: "lookups" }, load };
}

/** Twice the capacity: two large accounts, four small, lookups first. */
const TWICE = [
  lookups(0.2),
  drafts("large-1", 0.8),
  drafts("large-2", 0.6),
  ...["small-1", "small-2", "small-3", "small-4"].map((a) => drafts(a, 0.1)),
];

export const OUTAGE_FROM_MS = 20_000;
export const OUTAGE_TO_MS = 50_000;

export const ADMISSION_SCENARIOS: readonly AdmissionScenario[] = [
  { name: "saturation x2", streams: TWICE },
  {
    name: "saturation x2, 12 entries",
    settings: { entries: 12 },
    streams: TWICE,
  },
  {
    name: "burst x10",
    streams: [
      lookups(0.1),
      {
        stream: { ...DRAFT, rate: burst(1, 10, 20_000, 25_000) },
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
    faults: (site) => {
      site.time.after(20_000, () => {
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
  { name: "x2 with expert drift", streams: TWICE, faults: drift },
  {
    name: "outage of 30 s",
    streams: [lookups(0.15), drafts("a", 0.4), drafts("b", 0.2)],
    clientRepeats: 3,
    faults: (site) => {
      site.time.after(OUTAGE_FROM_MS, () => {
        for (const runner of site.runners) runner.fail();
      });
      site.time.after(OUTAGE_TO_MS, () => {
        for (const runner of site.runners) runner.isDown = false;
      });
    },
  },
];

/** The groups' slowest ranks change in turn, as popular experts move. */
function drift(site: Site): void {
  const PERIOD_MS = 20_000;
  const HIGHEST = 0.6;
  site.time.every(1000, 0, () => {
    site.runners.forEach((runner, index) => {
      const group = index >> 2;
      const phase = site.time.nowMs / PERIOD_MS + group / 3;
      const wave = (1 + Math.sin(2 * Math.PI * phase)) / 2;
      runner.slowdown = 1 + HIGHEST * wave;
    });
  });
}

/** Sets the rates so that each stream asks for its part of the capacity. */
export function scaledStreams(
  { streams }: AdmissionScenario,
  slots: number,
): readonly Stream[] {
  return streams.map(({ stream, load }) => {
    const { promptTokens, outputTokens, rate } = stream;
    const serviceMs =
      promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * STEP_MS;
    const factor = (load * slots * 1000) / serviceMs;
    return { ...stream, rate: (nowMs) => rate(nowMs) * factor };
  });
}
