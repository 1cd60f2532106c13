/**
 * Forecasts expert load from late and incomplete token counts. It blends three
 * forecasts, as none suits every demand: a fast mean (sudden waves), a slow
 * mean (oscillation, where moving after each swing costs more than it saves),
 * and the fast mean with its trend (seasonal drift). Their weights follow how
 * accurately each predicted recent load.
 *
 * Loads are scaled per layer, so that a rise in total traffic isn't mistaken
 * for a shift between experts.
 */
import { ForecastAccuracy } from "./forecast-accuracy.js";
import { JumpDetector, type LayerDeviation } from "./jump-detector.js";
import { meanOfKnown } from "./numbers.js";
import {
  blendForecasts,
  blendVariance,
  FAST_SMOOTHING_FACTOR,
  gainAt,
  SLOW_SMOOTHING_FACTOR,
  extrapolateTrend,
} from "./smoothing.js";
import type { GroupShape, LoadPrediction } from "./types.js";

/** Marks an expert that no report covers. */
export const UNKNOWN_TOKENS = -1;

const NOISE_SMOOTHING_FACTOR = 0.1;
/**
 * Squared changes are clipped at this multiple of the expected variance (three
 * standard deviations): a greater one is a change of demand, which must not
 * raise the noise estimate and hide real differences from the planner.
 */
const NOISE_CLIP_RATIO = 9;
/**
 * Token counts come in whole requests, so their variance is at least that of a
 * Poisson distribution, which equals the mean.
 */
const MINIMUM_DISPERSION = 1;

const FORECAST_COUNT = 3;
/** Windows for which a return to earlier demand counts as oscillation. */
const RETURN_MEMORY_WINDOWS = 48;
/** Age from which the slow mean is smoothed by SLOW_SMOOTHING_FACTOR. */
const SETTLED_AGE_WINDOWS = Math.round(1 / SLOW_SMOOTHING_FACTOR);

export class LoadForecast {
  private readonly previous: Float64Array;
  /** Means before the last jump; zero before the first jump. */
  private readonly beforeLastJump: Float64Array;
  /** 1 for each expert that a report has covered. */
  private readonly reported: Uint8Array;
  private readonly fast: Float64Array;
  private readonly slow: Float64Array;
  /** Variance-to-mean ratio of a window's tokens, per layer. */
  private readonly dispersion: Float64Array;
  /** Actual tokens per unit of the means, per layer. */
  private readonly scale: Float64Array;
  /** Number of windows in the means, per layer. */
  private readonly age: Int32Array;
  private readonly jumpDetector: JumpDetector;
  /** Window of the last jump back to earlier demand, per layer. */
  private readonly lastReturn: Float64Array;
  private readonly accuracy = ForecastAccuracy.create(FORECAST_COUNT);
  private windows = 0;

  private constructor(private readonly shape: GroupShape) {
    const size = shape.layers * shape.experts;
    this.previous = new Float64Array(size);
    this.beforeLastJump = new Float64Array(size);
    this.reported = new Uint8Array(size);
    this.fast = new Float64Array(size);
    this.slow = new Float64Array(size);
    this.dispersion = new Float64Array(shape.layers).fill(MINIMUM_DISPERSION);
    this.scale = new Float64Array(shape.layers).fill(1);
    this.age = new Int32Array(shape.layers);
    this.jumpDetector = JumpDetector.create(shape.layers);
    this.lastReturn = new Float64Array(shape.layers).fill(-Infinity);
  }

  static create(shape: GroupShape): LoadForecast {
    return new LoadForecast(shape);
  }

  /** Number of windows observed so far. */
  get observedWindows(): number {
    return this.windows;
  }

  /**
   * Share of demand known to return to earlier levels: the weight of the slow
   * mean or, if greater, the share of layers that returned recently.
   */
  get returningShare(): number {
    const returned = this.lastReturn.filter(
      (window) => this.windows - window < RETURN_MEMORY_WINDOWS,
    );
    const { layers } = this.shape;
    return Math.max(this.accuracy.weights[1], returned.length / layers);
  }

  /** Weights of the fast mean, the slow mean and the trend. */
  get weights(): readonly number[] {
    return this.accuracy.weights;
  }

  /**
   * Updates the forecast with one window of tokens per layer and expert; an
   * expert that no report covers (UNKNOWN_TOKENS) keeps its estimate.
   */
  observe(tokens: ArrayLike<number>): void {
    if (this.windows === 0) this.initializeMeans(tokens);
    else this.update(tokens);
    this.windows++;
    this.accuracy.advance(this.fast, (leadWindows) => [
      this.fast.slice(),
      this.slow.slice(),
      this.fast.map((fast, index) =>
        extrapolateTrend(fast, this.slow[index], leadWindows),
      ),
    ]);
  }

  /** Returns the tokens with estimates filled in for UNKNOWN_TOKENS. */
  complete(tokens: ArrayLike<number>): Float64Array {
    const { experts } = this.shape;
    return Float64Array.from(this.fast, (mean, index) =>
      tokens[index] < 0
        ? mean * this.scale[Math.floor(index / experts)]
        : tokens[index],
    );
  }

  /** Predicts the load `leadWindows` after the last observed window. */
  predict(leadWindows: number): LoadPrediction {
    const { layers, experts } = this.shape;
    const weights = this.weights;
    const tokens = new Float64Array(this.fast.length);
    const variance = new Float64Array(this.fast.length);
    for (let layer = 0; layer < layers; layer++) {
      const scale = this.scale[layer];
      const varianceRatio = blendVariance(
        this.age[layer],
        weights,
        leadWindows,
      );
      const noise = this.dispersion[layer] * varianceRatio * scale * scale;
      for (let expert = 0; expert < experts; expert++) {
        const index = layer * experts + expert;
        const fast = this.fast[index];
        const slow = this.slow[index];
        const mean = blendForecasts(fast, slow, weights, leadWindows);
        tokens[index] = mean * scale;
        variance[index] = mean * noise;
      }
    }
    return { tokens, variance };
  }

  private initializeMeans(tokens: ArrayLike<number>): void {
    const { layers, experts } = this.shape;
    for (let layer = 0; layer < layers; layer++) {
      const first = layer * experts;
      const layerMean = meanOfKnown(tokens, first, first + experts);
      for (let index = first; index < first + experts; index++) {
        if (tokens[index] < 0) this.setMeans(index, layerMean);
        else this.initializeExpert(index, tokens[index]);
      }
      this.age[layer] = 1;
    }
  }

  /**
   * Starts the means of an expert at its first report: continuing from a
   * default value would look like a jump, raise the noise estimate by orders of
   * magnitude and keep the planner from acting for minutes.
   */
  private initializeExpert(index: number, value: number): void {
    this.setMeans(index, value);
    this.reported[index] = 1;
  }

  private setMeans(index: number, value: number): void {
    this.fast[index] = value;
    this.slow[index] = value;
    this.previous[index] = value;
  }

  private update(tokens: ArrayLike<number>): void {
    for (let layer = 0; layer < this.shape.layers; layer++) {
      const ratio = this.layerRatio(layer, tokens);
      if (ratio > 0) this.updateLayer(layer, tokens, ratio);
    }
  }

  /** Actual tokens of the known experts relative to the sum of their means. */
  private layerRatio(layer: number, tokens: ArrayLike<number>): number {
    const { experts } = this.shape;
    let actual = 0;
    let expected = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0 || this.reported[index] === 0) continue;
      actual += tokens[index];
      expected += this.fast[index];
    }
    if (actual === 0) return 0;
    return expected > 0 ? actual / expected : 1;
  }

  private updateLayer(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): void {
    const { experts } = this.shape;
    const deviation = this.deviationOf(layer, tokens, ratio);
    if (this.jumpDetector.observe(layer, deviation)) {
      if (this.isReturn(layer, tokens, ratio)) this.averageAcrossReturn(layer);
      else if (this.jumpDetector.accept(layer)) {
        this.restartLayer(layer, tokens, ratio);
      }
    }
    const fastGain = gainAt(this.age[layer], FAST_SMOOTHING_FACTOR);
    const slowGain = gainAt(this.age[layer], SLOW_SMOOTHING_FACTOR);
    // There is no noise estimate yet to clip the first difference by.
    const clip =
      this.windows > 1 ? NOISE_CLIP_RATIO * this.dispersion[layer] : Infinity;
    let noise = 0;
    let known = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0) continue;
      const value = tokens[index] / ratio;
      if (this.reported[index] === 0) {
        this.initializeExpert(index, value);
        continue;
      }
      const change = value - this.previous[index];
      const level = Math.max(this.fast[index], 1);
      // The difference of two successive windows has twice the variance of one
      // and is hardly affected by slow drift.
      noise += Math.min((change * change) / (2 * level), clip);
      known++;
      this.previous[index] = value;
      this.fast[index] += fastGain * (value - this.fast[index]);
      this.slow[index] += slowGain * (value - this.slow[index]);
    }
    this.age[layer]++;
    this.scale[layer] += FAST_SMOOTHING_FACTOR * (ratio - this.scale[layer]);
    // There is one difference fewer than windows.
    const noiseGain = Math.max(NOISE_SMOOTHING_FACTOR, 1 / this.windows);
    if (known === 0) return;
    const step = noiseGain * (noise / known - this.dispersion[layer]);
    const next = this.dispersion[layer] + step;
    this.dispersion[layer] = Math.max(next, MINIMUM_DISPERSION);
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
      if (tokens[index] < 0 || this.reported[index] === 0) continue;
      const change = tokens[index] / ratio - this.fast[index];
      squaredChange += change * change;
      squaredLevel += this.fast[index] * this.fast[index];
      level += this.fast[index];
    }
    const noise = this.dispersion[layer] * level;
    return { squaredChange, squaredLevel, noise };
  }

  /** Restarts a layer's means from the previous window after a jump. */
  private restartLayer(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): void {
    const { experts } = this.shape;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0 || this.reported[index] === 0) continue;
      this.beforeLastJump[index] = this.fast[index];
      this.setMeans(index, this.previous[index]);
      this.previous[index] = tokens[index] / ratio;
    }
    this.age[layer] = 1;
  }

  /** Whether a jump returns to the demand before the previous jump. */
  private isReturn(
    layer: number,
    tokens: ArrayLike<number>,
    ratio: number,
  ): boolean {
    const { experts } = this.shape;
    let distanceToEarlier = 0;
    let distanceToCurrent = 0;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      if (tokens[index] < 0) continue;
      const value = tokens[index] / ratio;
      distanceToEarlier += (value - this.beforeLastJump[index]) ** 2;
      distanceToCurrent += (value - this.fast[index]) ** 2;
    }
    return distanceToEarlier < distanceToCurrent;
  }

  /** Demand that returns oscillates: its mean lies between both extremes. */
  private averageAcrossReturn(layer: number): void {
    const { experts } = this.shape;
    for (let index = layer * experts; index < (layer + 1) * experts; index++) {
      this.slow[index] = (this.fast[index] + this.beforeLastJump[index]) / 2;
    }
    this.age[layer] = SETTLED_AGE_WINDOWS;
    this.lastReturn[layer] = this.windows;
  }
}
