/**
 * Generates demand for the skew measurement. A trace holds, for each window of
 * ten seconds, the tokens of each layer and expert, the speed and request work
 * of each rank, and the ranks whose reports are lost.
 */
import {
  createRandom,
  type GroupShape,
  type Random,
  type RankState,
} from "../src/internal.js";

export interface TraceWindow {
  /** Tokens of each layer and expert: layer * experts + expert. */
  readonly tokens: Float64Array;
  readonly speeds: Float64Array;
  readonly requestTokens: Float64Array;
  /** Fixed part of a step, as tokens of work; ranks don't report it. */
  readonly fixedTokens: number;
  /** Ranks whose report of this window is lost. */
  readonly lostReports: ReadonlySet<number>;
}

export interface Trace {
  readonly name: string;
  readonly windows: readonly TraceWindow[];
  /** Load that the initial map is fitted to; the map is even if absent. */
  readonly startTokens?: Float64Array;
}

/** Tokens of expert work of one rank in one layer and window. */
const TOKENS_PER_RANK = 100_000;
/**
 * Ratio of a count's variance to its mean. The tokens of one request favour the
 * same experts, so counts vary more than independent ones, whose ratio is 1.
 */
const DISPERSION = 8;
/**
 * Standard deviation of log popularity. The most popular of 128 experts gets
 * about 3.5 times the tokens of a median one.
 */
const POPULARITY_SPREAD = 0.5;

interface TraceDefinition {
  /** Whether the initial map is fitted to the load at the start. */
  readonly fitsInitialMap: boolean;
  /** Ratio of variance to mean; DISPERSION if absent. */
  readonly dispersion?: number;
  /** Log popularity by layer and expert, as a function of the window. */
  readonly popularity: (
    base: Float64Array,
    random: Random,
  ) => PopularityOverTime;
  readonly rankConditions?: (
    shape: GroupShape,
    windows: number,
  ) => RankConditions;
}

type PopularityOverTime = (window: number, windows: number) => Float64Array;

interface RankConditions {
  readonly speed?: (rank: number, window: number) => number;
  /** Request work of a rank over the expert work of an average rank. */
  readonly requestWork?: (rank: number, window: number) => number;
  readonly losesReport?: (
    rank: number,
    window: number,
    random: Random,
  ) => boolean;
  /** Fixed part of a step over the expert work of an average rank. */
  readonly fixedWork?: number;
}

const traceDefinitions: Readonly<Record<string, TraceDefinition>> = {
  /** Demand is constant, and the initial map isn't fitted to it. */
  steady: { fitsInitialMap: false, popularity: stationary },
  /** Demand is constant and the map is fitted to it, so any move is wasted. */
  noise: { fitsInitialMap: true, popularity: stationary },
  "loud-noise": {
    fitsInitialMap: true,
    popularity: stationary,
    dispersion: 80,
  },
  drift: { fitsInitialMap: true, popularity: drifting },
  wave: { fitsInitialMap: true, popularity: stepChanges },
  /** Half of every step is independent of a rank's tokens. */
  "fixed-part": {
    fitsInitialMap: true,
    popularity: stepChanges,
    rankConditions: () => ({ fixedWork: 1 }),
  },
  oscillation: { fitsInitialMap: true, popularity: oscillating },
  flash: { fitsInitialMap: true, popularity: flashCrowd },
  "heavy-tail": { fitsInitialMap: true, popularity: heavyTail },
  "slow-rank": {
    fitsInitialMap: true,
    popularity: stationary,
    rankConditions: (_, windows) => ({
      speed: (rank, window) => (rank === 3 && window >= windows / 3 ? 0.6 : 1),
    }),
  },
  "missing-report": {
    fitsInitialMap: true,
    popularity: drifting,
    rankConditions: (_, windows) => ({
      losesReport: (rank, window, random) =>
        random() < 0.05 ||
        (rank === 5 && window >= windows / 3 && window < (windows * 2) / 3),
    }),
  },
  "uneven-requests": {
    fitsInitialMap: true,
    popularity: drifting,
    rankConditions: ({ ranks }) => ({
      requestWork: (rank) => 0.15 + (0.3 * rank) / Math.max(ranks - 1, 1),
    }),
  },
  /**
   * Request work peaks on some ranks, and on the opposite ones ten minutes
   * later.
   */
  "shifting-requests": {
    fitsInitialMap: true,
    popularity: drifting,
    rankConditions: ({ ranks }) => ({
      requestWork: (rank, window) =>
        0.3 + 0.15 * Math.sin(2 * Math.PI * (rank / ranks + window / 120)),
    }),
  },
};

export const traceNames: readonly string[] = Object.keys(traceDefinitions);

/** Generates the named trace; undefined if the name is unknown. */
export function generateTrace(
  name: string,
  shape: GroupShape,
  windows: number,
  seed: number,
): Trace | undefined {
  const definition = Object.hasOwn(traceDefinitions, name)
    ? traceDefinitions[name]
    : undefined;
  if (definition === undefined) return undefined;
  const random = createRandom(seed);
  const base = logPopularity(shape, random);
  const popularity = definition.popularity(base, random);
  const { dispersion = DISPERSION } = definition;
  const conditions = definition.rankConditions?.(shape, windows) ?? {};
  const traceWindows = Array.from({ length: windows }, (_, window) => {
    const expected = toTokens(shape, popularity(window, windows));
    return createTraceWindow(
      shape,
      window,
      addNoise(expected, dispersion, random),
      conditions,
      random,
    );
  });
  const startTokens = toTokens(shape, popularity(0, windows));
  return {
    name,
    windows: traceWindows,
    ...(definition.fitsInitialMap ? { startTokens } : {}),
  };
}

/** Combines the tokens of one window with the conditions of the ranks. */
export function createTraceWindow(
  shape: GroupShape,
  window: number,
  tokens: Float64Array,
  conditions: RankConditions,
  random: Random,
): TraceWindow {
  const ranks = Array.from({ length: shape.ranks }, (_, rank) => rank);
  const meanWork = shape.layers * TOKENS_PER_RANK;
  const { speed, requestWork, losesReport, fixedWork = 0 } = conditions;
  return {
    tokens,
    speeds: Float64Array.from(ranks, (rank) => speed?.(rank, window) ?? 1),
    requestTokens: Float64Array.from(
      ranks,
      (rank) => (requestWork?.(rank, window) ?? 0) * meanWork,
    ),
    fixedTokens: fixedWork * meanWork,
    lostReports: new Set(
      ranks.filter((rank) => losesReport?.(rank, window, random) ?? false),
    ),
  };
}

/** Samples the standard normal distribution (Box-Muller). */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

function logPopularity(shape: GroupShape, random: Random): Float64Array {
  const base = new Float64Array(shape.layers * shape.experts);
  return base.map(() => POPULARITY_SPREAD * normal(random));
}

function toTokens(shape: GroupShape, popularity: Float64Array): Float64Array {
  const { layers, experts, ranks } = shape;
  const tokens = new Float64Array(popularity.length);
  for (let layer = 0; layer < layers; layer++) {
    const start = layer * experts;
    const weights = popularity.subarray(start, start + experts).map(Math.exp);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const tokensPerWeight = (ranks * TOKENS_PER_RANK) / total;
    weights.forEach((weight, expert) => {
      tokens[start + expert] = weight * tokensPerWeight;
    });
  }
  return tokens;
}

function addNoise(
  expected: Float64Array,
  dispersion: number,
  random: Random,
): Float64Array {
  return expected.map((mean) =>
    Math.max(
      Math.round(mean + Math.sqrt(dispersion * mean) * normal(random)),
      0,
    ),
  );
}

function stationary(base: Float64Array): PopularityOverTime {
  return () => base;
}

/**
 * Each expert's popularity rises and falls by a factor of 1.8 every two hours.
 */
function drifting(base: Float64Array, random: Random): PopularityOverTime {
  const phases = base.map(() => 2 * Math.PI * random());
  return (window) =>
    base.map((value, index) => {
      const angle = (2 * Math.PI * window) / 720;
      return (
        value +
        0.6 * (Math.sin(angle + phases[index]) - Math.sin(phases[index]))
      );
    });
}

/**
 * At one third of the trace one expert in seven becomes three times as popular;
 * at two thirds another random choice of experts replaces it.
 */
function stepChanges(base: Float64Array, random: Random): PopularityOverTime {
  const first = base.map(() => (random() < 0.15 ? Math.log(3) : 0));
  const second = base.map(() => (random() < 0.15 ? Math.log(3) : 0));
  return (window, windows) =>
    base.map((value, index) => {
      if (window < windows / 3) return value;
      return value + (window < (windows * 2) / 3 ? first : second)[index];
    });
}

/** Alternates between two demands every minute. */
function oscillating(base: Float64Array, random: Random): PopularityOverTime {
  const deviation = base.map(() => 0.5 * normal(random));
  return (window) => {
    const sign = Math.floor(window / 6) % 2 === 0 ? 1 : -1;
    return base.map((value, index) => value + sign * deviation[index]);
  };
}

/** One expert in fifty is eight times as popular for ten minutes. */
function flashCrowd(base: Float64Array, random: Random): PopularityOverTime {
  const boost = base.map(() => (random() < 0.02 ? Math.log(8) : 0));
  return (window, windows) => {
    const start = windows / 3;
    const isActive = window >= start && window < start + 60;
    return isActive ? base.map((value, index) => value + boost[index]) : base;
  };
}

/**
 * Few experts take most of the tokens (Pareto), and popularity drifts slowly.
 */
function heavyTail(base: Float64Array, random: Random): PopularityOverTime {
  const tail = base.map(() => -Math.log(1 - random()) / 1.5);
  const drift = drifting(tail, random);
  return drift;
}

/** State of the ranks in a window, with the fixed part as request work. */
export function rankStateOf(window: TraceWindow): RankState {
  const { speeds, requestTokens, fixedTokens } = window;
  const work = requestTokens.map((tokens) => tokens + fixedTokens);
  return { speeds, requestTokens: work };
}
