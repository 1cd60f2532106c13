/** Turns the reports of single ranks into tokens of experts and rank speeds. */
import { FixedTime, type RankPoint } from "./fixed-time.js";
import { medianOf, sum } from "./numbers.js";
import { countReplicas } from "./step-model.js";
import { UNKNOWN_TOKENS } from "./load-forecast.js";
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupShape,
  type RankReport,
} from "./types.js";

/**
 * Tokens of each layer and expert in one window, from the reports that came.
 * An expert is estimated from those of its replicas that were reported, which
 * is fair as tokens are split evenly; with none of them it is UNKNOWN_TOKENS.
 */
export function collectTokens(
  map: ExpertMap,
  reports: readonly RankReport[],
): Float64Array {
  const { layers, experts } = map.shape;
  const tokens = new Float64Array(layers * experts);
  const seen = new Int16Array(layers * experts);
  for (const report of reports) addReport(map, report, tokens, seen);
  for (let layer = 0; layer < layers; layer++) {
    const replicas = countReplicas(map, layer);
    for (let expert = 0; expert < experts; expert++) {
      const index = layer * experts + expert;
      tokens[index] =
        seen[index] === 0
          ? UNKNOWN_TOKENS
          : (tokens[index] * replicas[expert]) / seen[index];
    }
  }
  return tokens;
}

function addReport(
  map: ExpertMap,
  report: RankReport,
  tokens: Float64Array,
  seen: Int16Array,
): void {
  const { ranks, layers, experts, slotsPerRank } = map.shape;
  for (let layer = 0; layer < layers; layer++) {
    const start = (layer * ranks + report.rank) * slotsPerRank;
    for (let position = 0; position < slotsPerRank; position++) {
      const expert = map.slots[start + position];
      if (expert === EMPTY_SLOT) continue;
      const index = layer * experts + expert;
      tokens[index] += report.tokens[layer * slotsPerRank + position];
      seen[index]++;
    }
  }
}

const SPEED_SMOOTHING = 0.3;
/**
 * Speeds this close to the median count as equal: timers and clocks of healthy
 * accelerators differ by about so much, and moving experts for it never ends.
 */
const SPEED_TOLERANCE = 0.05;
/** Of a rank that took hardly longer than the fixed part, noise is left. */
const LEAST_TIME_SHARE = 0.05;
const SLOWEST_SPEED = 0.05;
const FASTEST_SPEED = 2;

/** Estimates each rank's speed from its reports; 1 is the median rank. */
export class RankSpeeds {
  private readonly estimates: Float64Array;
  private readonly fixedTime = FixedTime.create();
  private fixed = 0;

  private constructor(shape: GroupShape) {
    this.estimates = new Float64Array(shape.ranks).fill(1);
  }

  static create(shape: GroupShape): RankSpeeds {
    return new RankSpeeds(shape);
  }

  /** Work of the median rank that takes as long as a step without tokens. */
  get fixedTokens(): number {
    return this.fixed;
  }

  /** A rank that sent no report, or did no work, keeps its estimate. */
  observe(reports: readonly RankReport[]): void {
    const measured = reports.filter((report) => report.busySeconds > 0);
    const points = measured.map(pointOf);
    this.fixedTime.observe(points);
    const median = medianOf(points.map(({ seconds }) => seconds));
    const fixedSeconds = this.fixedTime.secondsOf(median);
    const rates = points.map((point) => rateOf(point, fixedSeconds));
    const medianRate = medianOf(rates);
    if (medianRate === 0) return;
    this.fixed = fixedSeconds * medianRate;
    measured.forEach(({ rank }, index) => {
      const speed = clampSpeed(rates[index] / medianRate);
      const old = this.estimates[rank];
      this.estimates[rank] = old + SPEED_SMOOTHING * (speed - old);
    });
  }

  /** Speeds for the step model, small differences evened out. */
  current(): Float64Array {
    return this.estimates.map((speed) =>
      Math.abs(speed - 1) < SPEED_TOLERANCE ? 1 : speed,
    );
  }
}

function pointOf(report: RankReport): RankPoint {
  const tokens = sum(report.tokens) + report.requestTokens;
  return { tokens, seconds: report.busySeconds };
}

/** Tokens a second beside the fixed part, which no time falls short of. */
function rateOf({ tokens, seconds }: RankPoint, fixedSeconds: number): number {
  return tokens / Math.max(seconds - fixedSeconds, LEAST_TIME_SHARE * seconds);
}

function clampSpeed(speed: number): number {
  return Math.min(Math.max(speed, SLOWEST_SPEED), FASTEST_SPEED);
}
