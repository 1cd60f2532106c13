/**
 * Forecast of expert load from late, gappy token counts. Three forecasts run
 * side by side, as no one of them suits every demand: a fast mean (sudden
 * waves), a slow mean (oscillation, where moving after each swing would cost
 * and never pay), and the fast mean with its trend (seasonal drift). They are
 * weighed by how well each foretold the load some windows ago.
 *
 * Loads are kept as shares of their layer, so a rise of traffic as a whole
 * isn't taken for a shift between experts.
 */
import { meanOfKnown, squaredDistance, squares } from "./numbers.js";
import type { GroupShape, LoadPrediction } from "./types.js";

/** Marks an expert whose tokens no report told. */
export const UNKNOWN_TOKENS = -1;

/**
 * Smoothing of the two means, for windows of about 10 s: the fast one follows
 * a wave in about 3 windows, the slow one averages over 25, which is longer
 * than the swings that a map can't follow (transfer and switch take about 3).
 */
const FAST = 0.3;
const SLOW = 0.04;
/** How far an exponential mean lags behind a steady slope, in windows. */
const FAST_LAG = (1 - FAST) / FAST;
const SLOW_LAG = (1 - SLOW) / SLOW;
/** The trend may at most halve or double the fast mean. */
const TREND_LIMIT = 2;
/** Windows between a forecast and the check of it. */
const CHECK_LEAD = 8;
const CHECK_EVERY = 2;
const ERROR_DECAY = 0.9;
/** Relative squared error below which two forecasts count as equal. */
const ERROR_FLOOR = 1e-5;
const NOISE_SMOOTHING = 0.1;
/**
 * A jump beyond this many standard deviations is a change of demand and not
 * noise: it may not raise the noise estimate and so blind the planner.
 */
const NOISE_CLIP = 9;
/** Counts of tokens that come in whole requests spread at least like this. */
const LEAST_DISPERSION = 1;

interface Snapshot {
  readonly dueWindow: number;
  readonly forecasts: readonly Float64Array[];
}

const FORECASTERS = 3;

export class LoadForecast {
  private readonly previous: Float64Array;
  /** 1 for each expert that a report has told of. */
  private readonly seen: Uint8Array;
  private readonly fast: Float64Array;
  private readonly slow: Float64Array;
  /** Variance of a window's tokens over their mean, of each layer. */
  private readonly dispersion: Float64Array;
  /** Actual tokens for each unit of the means, of each layer. */
  private readonly scale: Float64Array;
  private readonly errors = new Float64Array(FORECASTERS);
  private snapshots: Snapshot[] = [];
  private windows = 0;

  private constructor(private readonly shape: GroupShape) {
    const size = shape.layers * shape.experts;
    this.previous = new Float64Array(size);
    this.seen = new Uint8Array(size);
    this.fast = new Float64Array(size);
    this.slow = new Float64Array(size);
    this.dispersion = new Float64Array(shape.layers).fill(LEAST_DISPERSION);
    this.scale = new Float64Array(shape.layers).fill(1);
  }

  static create(shape: GroupShape): LoadForecast {
    return new LoadForecast(shape);
  }

  /** Windows taken in so far. */
  get observedWindows(): number {
    return this.windows;
  }

  /** Part of the forecast that rests on the slow mean. */
  get slowWeight(): number {
    return this.weights[1];
  }

  /** Weights of the fast mean, the slow mean and the trend. */
  get weights(): readonly number[] {
    const trust = Array.from(
      this.errors,
      (error) => (error + ERROR_FLOOR) ** -2,
    );
    const total = trust.reduce((sum, value) => sum + value, 0);
    return trust.map((value) => value / total);
  }

  /**
   * Takes in one window of tokens of each layer and expert; an expert that no
   * report told of (UNKNOWN_TOKENS) keeps its estimate.
   */
  observe(tokens: ArrayLike<number>): void {
    if (this.windows === 0) this.start(tokens);
    else this.follow(tokens);
    this.windows++;
    this.checkForecasts();
    if (this.windows % CHECK_EVERY === 0) this.takeSnapshot();
  }

  /** The tokens with estimates in place of what no report told of. */
  complete(tokens: ArrayLike<number>): Float64Array {
    const { experts } = this.shape;
    return Float64Array.from(this.fast, (mean, index) =>
      tokens[index] < 0
        ? mean * this.scale[Math.floor(index / experts)]
        : tokens[index],
    );
  }

  /** The load expected `leadWindows` after the last window taken in. */
  predict(leadWindows: number): LoadPrediction {
    const { layers, experts } = this.shape;
    const weights = this.weights;
    const spread = this.estimateSpread(weights, leadWindows);
    const tokens = new Float64Array(this.fast.length);
    const variance = new Float64Array(this.fast.length);
    for (let layer = 0; layer < layers; layer++) {
      const scale = this.scale[layer];
      const noise = this.dispersion[layer] * spread * scale * scale;
      for (let expert = 0; expert < experts; expert++) {
        const index = layer * experts + expert;
        const mean = this.blend(index, weights, leadWindows);
        tokens[index] = mean * scale;
        variance[index] = mean * noise;
      }
    }
    return { tokens, variance };
  }

  private start(tokens: ArrayLike<number>): void {
    const { layers, experts } = this.shape;
    for (let layer = 0; layer < layers; layer++) {
      const first = layer * experts;
      const guess = meanOfKnown(tokens, first, first + experts);
      for (let index = first; index < first + experts; index++) {
        if (tokens[index] < 0) this.setMeans(index, guess);
        else this.meet(index, tokens[index]);
      }
    }
  }

  /**
   * The first report of an expert. Its means start here: a guess or a zero
   * taken for a report would look like a jump, raise the noise estimate by
   * orders of magnitude and blind the planner for minutes.
   */
  private meet(index: number, value: number): void {
    this.setMeans(index, value);
    this.seen[index] = 1;
  }

  private setMeans(index: number, value: number): void {
    this.fast[index] = value;
    this.slow[index] = value;
    this.previous[index] = value;
  }

  private follow(tokens: ArrayLike<number>): void {
    for (let layer = 0; layer < this.shape.layers; layer++) {
      const ratio = this.layerRatio(layer, tokens);
      if (ratio > 0) this.followLayer(layer, tokens, ratio);
    }
  }

  /** Tokens of the known experts over what their means expect. */
  private layerRatio(layer: number, tokens: ArrayLike<number>): number {
    const { experts } = this.shape;
    let actual = 0;
    let expected = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0 || this.seen[index] === 0) continue;
      actual += tokens[index];
      expected += this.fast[index];
    }
    if (actual === 0) return 0;
    return expected > 0 ? actual / expected : 1;
  }

  private followLayer(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): void {
    const { experts } = this.shape;
    const fastGain = this.gain(FAST);
    const slowGain = this.gain(SLOW);
    // The first difference has no estimate to be clipped by.
    const clip =
      this.windows > 1 ? NOISE_CLIP * this.dispersion[layer] : Infinity;
    let noise = 0;
    let known = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0) continue;
      const value = tokens[index] / ratio;
      if (this.seen[index] === 0) {
        this.meet(index, value);
        continue;
      }
      const change = value - this.previous[index];
      const level = Math.max(this.fast[index], 1);
      // Two successive windows differ by twice the variance of one; their
      // difference knows nothing of a slow drift.
      noise += Math.min((change * change) / (2 * level), clip);
      known++;
      this.previous[index] = value;
      this.fast[index] += fastGain * (value - this.fast[index]);
      this.slow[index] += slowGain * (value - this.slow[index]);
    }
    this.scale[layer] += FAST * (ratio - this.scale[layer]);
    // One difference fewer than windows has been seen so far.
    const noiseGain = Math.max(NOISE_SMOOTHING, 1 / this.windows);
    if (known === 0) return;
    const step = noiseGain * (noise / known - this.dispersion[layer]);
    const next = this.dispersion[layer] + step;
    this.dispersion[layer] = Math.max(next, LEAST_DISPERSION);
  }

  /** Until enough windows are seen, a mean weighs all of them alike. */
  private gain(smoothing: number): number {
    return Math.max(smoothing, 1 / (this.windows + 1));
  }

  private trend(index: number, leadWindows: number): number {
    const fast = this.fast[index];
    const slope = (fast - this.slow[index]) / (SLOW_LAG - FAST_LAG);
    const value = fast + slope * (FAST_LAG + leadWindows);
    return Math.min(Math.max(value, fast / TREND_LIMIT), fast * TREND_LIMIT);
  }

  private blend(
    index: number,
    weights: readonly number[],
    leadWindows: number,
  ): number {
    return (
      weights[0] * this.fast[index] +
      weights[1] * this.slow[index] +
      weights[2] * this.trend(index, leadWindows)
    );
  }

  /**
   * Variance of the blended forecast over that of one window: the standard
   * deviations are added, which is exact for fully correlated forecasts and
   * an upper limit otherwise. Early on a mean has seen few windows.
   */
  private estimateSpread(weights: readonly number[], lead: number): number {
    const fewest = 1 / Math.max(this.windows, 1);
    const fast = Math.max(FAST / (2 - FAST), fewest);
    const slow = Math.max(SLOW / (2 - SLOW), fewest);
    const reach = (FAST_LAG + lead) / (SLOW_LAG - FAST_LAG);
    const trend = (1 + reach) ** 2 * fast + reach ** 2 * slow;
    const deviation =
      weights[0] * Math.sqrt(fast) +
      weights[1] * Math.sqrt(slow) +
      weights[2] * Math.sqrt(trend);
    return deviation * deviation;
  }

  private takeSnapshot(): void {
    const trend = this.fast.map((_, index) => this.trend(index, CHECK_LEAD));
    this.snapshots.push({
      dueWindow: this.windows + CHECK_LEAD,
      forecasts: [this.fast.slice(), this.slow.slice(), trend],
    });
  }

  private checkForecasts(): void {
    const due = this.snapshots.at(0);
    if (due?.dueWindow !== this.windows) return;
    this.snapshots = this.snapshots.slice(1);
    const size = squares(this.fast);
    if (size === 0) return;
    due.forecasts.forEach((forecast, index) => {
      const error = squaredDistance(forecast, this.fast) / size;
      const old = this.errors[index];
      this.errors[index] = ERROR_DECAY * old + (1 - ERROR_DECAY) * error;
    });
  }
}
