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
import { ForecastRecord } from "./forecast-record.js";
import { JumpWatch, type LayerDeviation } from "./jump-watch.js";
import { meanOfKnown } from "./numbers.js";
import {
  blendOf,
  blendVariance,
  FAST,
  gainAt,
  SLOW,
  trendOf,
} from "./smoothing.js";
import type { GroupShape, LoadPrediction } from "./types.js";

/** Marks an expert whose tokens no report told. */
export const UNKNOWN_TOKENS = -1;

const NOISE_SMOOTHING = 0.1;
/**
 * A jump beyond this many standard deviations is a change of demand and not
 * noise: it may not raise the noise estimate and so blind the planner.
 */
const NOISE_CLIP = 9;
/** Counts of tokens that come in whole requests spread at least like this. */
const LEAST_DISPERSION = 1;

const FORECASTERS = 3;
/** Windows for which a return counts as a sign of swings. */
const RETURN_MEMORY = 48;
/** From this age on a slow mean moves no faster than SLOW. */
const SETTLED_AGE = Math.round(1 / SLOW);

export class LoadForecast {
  private readonly previous: Float64Array;
  /** Means that the last jump left behind; zero before the first one. */
  private readonly left: Float64Array;
  /** 1 for each expert that a report has told of. */
  private readonly seen: Uint8Array;
  private readonly fast: Float64Array;
  private readonly slow: Float64Array;
  /** Variance of a window's tokens over their mean, of each layer. */
  private readonly dispersion: Float64Array;
  /** Actual tokens for each unit of the means, of each layer. */
  private readonly scale: Float64Array;
  /** Windows that the means of each layer rest on. */
  private readonly age: Int32Array;
  private readonly jumps: JumpWatch;
  /** Window in which a jump of each layer last led back. */
  private readonly lastReturn: Float64Array;
  private readonly record = ForecastRecord.create(FORECASTERS);
  private windows = 0;

  private constructor(private readonly shape: GroupShape) {
    const size = shape.layers * shape.experts;
    this.previous = new Float64Array(size);
    this.left = new Float64Array(size);
    this.seen = new Uint8Array(size);
    this.fast = new Float64Array(size);
    this.slow = new Float64Array(size);
    this.dispersion = new Float64Array(shape.layers).fill(LEAST_DISPERSION);
    this.scale = new Float64Array(shape.layers).fill(1);
    this.age = new Int32Array(shape.layers);
    this.jumps = JumpWatch.create(shape.layers);
    this.lastReturn = new Float64Array(shape.layers).fill(-Infinity);
  }

  static create(shape: GroupShape): LoadForecast {
    return new LoadForecast(shape);
  }

  /** Windows taken in so far. */
  get observedWindows(): number {
    return this.windows;
  }

  /**
   * How far demand is known to return to where it was: the part of the
   * forecast that rests on the slow mean, or of the layers that came back.
   */
  get returningShare(): number {
    const returned = this.lastReturn.filter(
      (window) => this.windows - window < RETURN_MEMORY,
    );
    const { layers } = this.shape;
    return Math.max(this.record.weights[1], returned.length / layers);
  }

  /** Weights of the fast mean, the slow mean and the trend. */
  get weights(): readonly number[] {
    return this.record.weights;
  }

  /**
   * Takes in one window of tokens of each layer and expert; an expert that no
   * report told of (UNKNOWN_TOKENS) keeps its estimate.
   */
  observe(tokens: ArrayLike<number>): void {
    if (this.windows === 0) this.start(tokens);
    else this.follow(tokens);
    this.windows++;
    this.record.advance(this.fast, (lead) => [
      this.fast.slice(),
      this.slow.slice(),
      this.fast.map((fast, index) => trendOf(fast, this.slow[index], lead)),
    ]);
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
    const tokens = new Float64Array(this.fast.length);
    const variance = new Float64Array(this.fast.length);
    for (let layer = 0; layer < layers; layer++) {
      const scale = this.scale[layer];
      const spread = blendVariance(this.age[layer], weights, leadWindows);
      const noise = this.dispersion[layer] * spread * scale * scale;
      for (let expert = 0; expert < experts; expert++) {
        const index = layer * experts + expert;
        const fast = this.fast[index];
        const slow = this.slow[index];
        const mean = blendOf(fast, slow, weights, leadWindows);
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
      this.age[layer] = 1;
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
    const deviation = this.deviationOf(layer, tokens, ratio);
    if (this.jumps.observe(layer, deviation)) {
      if (this.isReturn(layer, tokens, ratio)) this.settleBetween(layer);
      else if (this.jumps.accept(layer)) {
        this.startAgain(layer, tokens, ratio);
      }
    }
    const fastGain = gainAt(this.age[layer], FAST);
    const slowGain = gainAt(this.age[layer], SLOW);
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
    this.age[layer]++;
    this.scale[layer] += FAST * (ratio - this.scale[layer]);
    // One difference fewer than windows has been seen so far.
    const noiseGain = Math.max(NOISE_SMOOTHING, 1 / this.windows);
    if (known === 0) return;
    const step = noiseGain * (noise / known - this.dispersion[layer]);
    const next = this.dispersion[layer] + step;
    this.dispersion[layer] = Math.max(next, LEAST_DISPERSION);
  }

  private deviationOf(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): LayerDeviation {
    const { experts } = this.shape;
    let squaredChange = 0;
    let squaredLevel = 0;
    let level = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0 || this.seen[index] === 0) continue;
      const change = tokens[index] / ratio - this.fast[index];
      squaredChange += change * change;
      squaredLevel += this.fast[index] * this.fast[index];
      level += this.fast[index];
    }
    const noise = this.dispersion[layer] * level;
    return { squaredChange, squaredLevel, noise };
  }

  /** After a jump the means rest on the window before this one. */
  private startAgain(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): void {
    const { experts } = this.shape;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0 || this.seen[index] === 0) continue;
      this.left[index] = this.fast[index];
      this.setMeans(index, this.previous[index]);
      this.previous[index] = tokens[index] / ratio;
    }
    this.age[layer] = 1;
  }

  /** Whether a jump leads back to the demand that the last one left. */
  private isReturn(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): boolean {
    const { experts } = this.shape;
    let toLeft = 0;
    let toHere = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0) continue;
      const value = tokens[index] / ratio;
      toLeft += (value - this.left[index]) ** 2;
      toHere += (value - this.fast[index]) ** 2;
    }
    return toLeft < toHere;
  }

  /** Demand that comes back swings: its mean is between the two ends. */
  private settleBetween(layer: number): void {
    const { experts } = this.shape;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      this.slow[index] = (this.fast[index] + this.left[index]) / 2;
    }
    this.age[layer] = SETTLED_AGE;
    this.lastReturn[layer] = this.windows;
  }
}
