/**
 * Generated demand for the balance measurement. A trace gives, for each window
 * of ten seconds, the tokens of each layer and expert, the speeds and request
 * work of the ranks, and the ranks whose reports are lost.
 */
import { createRandom, type GroupShape, type Random } from "../src/internal.js";

export interface TraceWindow {
  /** Tokens of each layer and expert: layer * experts + expert. */
  readonly tokens: Float64Array;
  readonly speeds: Float64Array;
  readonly requestTokens: Float64Array;
  /** Ranks whose report of this window never arrives. */
  readonly lostReports: ReadonlySet<number>;
}

export interface Trace {
  readonly name: string;
  readonly windows: readonly TraceWindow[];
  /** Load that the map at the start was fitted to; unfitted when absent. */
  readonly startTokens?: Float64Array;
}

/** Tokens of expert work of one rank in one layer and window. */
const TOKENS_PER_RANK = 100_000;
/**
 * Variance of a count over its mean. Tokens of one request favour the same
 * experts, so counts vary more than independent ones (1).
 */
const DISPERSION = 8;
/** Spread of the logarithm of popularity: the hottest of 128 is about 3.5. */
const POPULARITY_SPREAD = 0.5;

interface Recipe {
  readonly fitted: boolean;
  /** DISPERSION when absent. */
  readonly dispersion?: number;
  /** Popularity of every layer and expert in a window. */
  readonly popularity: (base: Float64Array, random: Random) => Popularity;
  readonly ranks?: (shape: GroupShape, windows: number) => RankFaults;
}

type Popularity = (window: number, windows: number) => Float64Array;

interface RankFaults {
  readonly speed?: (rank: number, window: number) => number;
  /** Request work over the expert work of an average rank. */
  readonly request?: (rank: number, window: number) => number;
  readonly loses?: (rank: number, window: number, random: Random) => boolean;
}

const recipes: Readonly<Record<string, Recipe>> = {
  /** Demand stands still, but the map at the start knows nothing of it. */
  steady: { fitted: false, popularity: still },
  /** Demand stands still and the map fits it: any move is wasted. */
  noise: { fitted: true, popularity: still },
  "loud-noise": { fitted: true, popularity: still, dispersion: 80 },
  drift: { fitted: true, popularity: drifting },
  wave: { fitted: true, popularity: waves },
  oscillation: { fitted: true, popularity: oscillating },
  flash: { fitted: true, popularity: flashing },
  "heavy-tail": { fitted: true, popularity: heavyTail },
  "slow-rank": {
    fitted: true,
    popularity: still,
    ranks: (_, windows) => ({
      speed: (rank, window) => (rank === 3 && window >= windows / 3 ? 0.6 : 1),
    }),
  },
  "missing-report": {
    fitted: true,
    popularity: drifting,
    ranks: (_, windows) => ({
      loses: (rank, window, random) =>
        random() < 0.05 ||
        (rank === 5 && window >= windows / 3 && window < (windows * 2) / 3),
    }),
  },
  "uneven-requests": {
    fitted: true,
    popularity: drifting,
    ranks: ({ ranks }) => ({
      request: (rank) => 0.15 + (0.3 * rank) / Math.max(ranks - 1, 1),
    }),
  },
  /** Long requests pile up on some ranks, on others ten minutes later. */
  "shifting-requests": {
    fitted: true,
    popularity: drifting,
    ranks: ({ ranks }) => ({
      request: (rank, window) =>
        0.3 + 0.15 * Math.sin(2 * Math.PI * (rank / ranks + window / 120)),
    }),
  },
};

export const traceNames: readonly string[] = Object.keys(recipes);

/** A generated trace; undefined when there is none of the name. */
export function generateTrace(
  name: string,
  shape: GroupShape,
  windows: number,
  seed: number,
): Trace | undefined {
  const recipe = Object.hasOwn(recipes, name) ? recipes[name] : undefined;
  if (recipe === undefined) return undefined;
  const random = createRandom(seed);
  const base = logPopularity(shape, random);
  const popularity = recipe.popularity(base, random);
  const { dispersion = DISPERSION } = recipe;
  const faults = recipe.ranks?.(shape, windows) ?? {};
  const list = Array.from({ length: windows }, (_, window) => {
    const expected = toTokens(shape, popularity(window, windows));
    return traceWindow(
      shape,
      window,
      addNoise(expected, dispersion, random),
      faults,
      random,
    );
  });
  const startTokens = toTokens(shape, popularity(0, windows));
  return { name, windows: list, ...(recipe.fitted ? { startTokens } : {}) };
}

/** One window of tokens with the ranks' part added. */
export function traceWindow(
  shape: GroupShape,
  window: number,
  tokens: Float64Array,
  faults: RankFaults,
  random: Random,
): TraceWindow {
  const ranks = Array.from({ length: shape.ranks }, (_, rank) => rank);
  const meanWork = shape.layers * TOKENS_PER_RANK;
  const { speed, request, loses } = faults;
  return {
    tokens,
    speeds: Float64Array.from(ranks, (rank) => speed?.(rank, window) ?? 1),
    requestTokens: Float64Array.from(
      ranks,
      (rank) => (request?.(rank, window) ?? 0) * meanWork,
    ),
    lostReports: new Set(
      ranks.filter((rank) => loses?.(rank, window, random) ?? false),
    ),
  };
}

/** Normal variate (Box and Muller). */
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
    const unit = (ranks * TOKENS_PER_RANK) / total;
    weights.forEach((weight, expert) => {
      tokens[start + expert] = weight * unit;
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

function still(base: Float64Array): Popularity {
  return () => base;
}

/** Every expert rises and falls by a factor of 1.8 in two hours. */
function drifting(base: Float64Array, random: Random): Popularity {
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

/** At a third and at two thirds, one expert in seven becomes three times as hot. */
function waves(base: Float64Array, random: Random): Popularity {
  const first = base.map(() => (random() < 0.15 ? Math.log(3) : 0));
  const second = base.map(() => (random() < 0.15 ? Math.log(3) : 0));
  return (window, windows) =>
    base.map((value, index) => {
      if (window < windows / 3) return value;
      return value + (window < (windows * 2) / 3 ? first : second)[index];
    });
}

/** Two demands take turns of a minute. */
function oscillating(base: Float64Array, random: Random): Popularity {
  const swing = base.map(() => 0.5 * normal(random));
  return (window) => {
    const side = Math.floor(window / 6) % 2 === 0 ? 1 : -1;
    return base.map((value, index) => value + side * swing[index]);
  };
}

/** One expert in fifty is eight times as hot for ten minutes. */
function flashing(base: Float64Array, random: Random): Popularity {
  const hot = base.map(() => (random() < 0.02 ? Math.log(8) : 0));
  return (window, windows) => {
    const start = windows / 3;
    const lit = window >= start && window < start + 60;
    return lit ? base.map((value, index) => value + hot[index]) : base;
  };
}

/** Few experts take most of the tokens (Pareto), and slowly change places. */
function heavyTail(base: Float64Array, random: Random): Popularity {
  const tail = base.map(() => -Math.log(1 - random()) / 1.5);
  const drift = drifting(tail, random);
  return drift;
}
