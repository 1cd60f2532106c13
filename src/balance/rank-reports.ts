/** Computes tokens per expert and rank speeds from the reports of the ranks. */
import { FixedTime, type RankSample } from "./fixed-time.js";
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
 * Tokens per layer and expert in one window, from the reports received. An
 * expert's total is extrapolated from its reported replicas, as tokens are
 * split evenly over replicas; without any it is UNKNOWN_TOKENS.
 */
export function collectTokens(
  map: ExpertMap,
  reports: readonly RankReport[],
): Float64Array {
  const { layers, experts } = map.shape;
  const tokens = new Float64Array(layers * experts);
  const reportedReplicas = new Int16Array(layers * experts);
  for (const report of reports)
    addReport(map, report, tokens, reportedReplicas);
  for (let layer = 0; layer < layers; layer++) {
    const replicas = countReplicas(map, layer);
    for (let expert = 0; expert < experts; expert++) {
      const index = layer * experts + expert;
      tokens[index] =
        reportedReplicas[index] === 0
          ? UNKNOWN_TOKENS
          : (tokens[index] * replicas[expert]) / reportedReplicas[index];
    }
  }
  return tokens;
}

function addReport(
  map: ExpertMap,
  report: RankReport,
  tokens: Float64Array,
  reportedReplicas: Int16Array,
): void {
  const { ranks, layers, experts, slotsPerRank } = map.shape;
  for (let layer = 0; layer < layers; layer++) {
    const start = (layer * ranks + report.rank) * slotsPerRank;
    for (let position = 0; position < slotsPerRank; position++) {
      const expert = map.slots[start + position];
      if (expert === EMPTY_SLOT) continue;
      const index = layer * experts + expert;
      tokens[index] += report.tokens[layer * slotsPerRank + position];
      reportedReplicas[index]++;
    }
  }
}

const SPEED_SMOOTHING_FACTOR = 0.3;
/**
 * Speeds this close to the median count as equal: timers and clock rates of
 * healthy accelerators differ by about as much, and reacting to that would move
 * experts endlessly.
 */
const SPEED_TOLERANCE = 0.05;
/** Minimum share of busy time attributed to tokens; less would be noise. */
const TOKEN_SHARE_FLOOR = 0.05;
/** Bounds on a rank's speed; 1 is the median rank. */
const MINIMUM_SPEED = 0.05;
const MAXIMUM_SPEED = 2;

/** Estimates each rank's speed from its reports; 1 is the median rank. */
export class RankSpeeds {
  private readonly estimates: Float64Array;
  private readonly fixedTime = FixedTime.create();
  private currentFixedTokens = 0;

  private constructor(shape: GroupShape) {
    this.estimates = new Float64Array(shape.ranks).fill(1);
  }

  static create(shape: GroupShape): RankSpeeds {
    return new RankSpeeds(shape);
  }

  /** Tokens that the median rank could process in the fixed part of a step. */
  get fixedTokens(): number {
    return this.currentFixedTokens;
  }

  /** Updates the speeds; a rank without a report or work keeps its estimate. */
  observe(reports: readonly RankReport[]): void {
    const measured = reports.filter((report) => report.busySeconds > 0);
    const samples = measured.map(sampleOf);
    this.fixedTime.observe(samples);
    const median = medianOf(samples.map(({ seconds }) => seconds));
    const fixedSeconds = this.fixedTime.fixedSecondsOf(median);
    const rates = samples.map((sample) => tokenRate(sample, fixedSeconds));
    const medianRate = medianOf(rates);
    if (medianRate === 0) return;
    this.currentFixedTokens = fixedSeconds * medianRate;
    measured.forEach(({ rank }, index) => {
      const speed = clampSpeed(rates[index] / medianRate);
      const old = this.estimates[rank];
      this.estimates[rank] = old + SPEED_SMOOTHING_FACTOR * (speed - old);
    });
  }

  /** Speeds for the step model, with small differences rounded to 1. */
  current(): Float64Array {
    return this.estimates.map((speed) =>
      Math.abs(speed - 1) < SPEED_TOLERANCE ? 1 : speed,
    );
  }
}

function sampleOf(report: RankReport): RankSample {
  const tokens = sum(report.tokens) + report.requestTokens;
  return { tokens, seconds: report.busySeconds };
}

/** Tokens per second of busy time, not counting the fixed part. */
function tokenRate(
  { tokens, seconds }: RankSample,
  fixedSeconds: number,
): number {
  return tokens / Math.max(seconds - fixedSeconds, TOKEN_SHARE_FLOOR * seconds);
}

function clampSpeed(speed: number): number {
  return Math.min(Math.max(speed, MINIMUM_SPEED), MAXIMUM_SPEED);
}
