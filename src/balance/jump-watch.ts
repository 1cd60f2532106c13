/**
 * Tells a lasting jump of demand from noise and drift, so that the forecast
 * can drop what it knew before: the slow mean would hold on to the old demand
 * for minutes, in which a wave is levelled by half.
 *
 * Demand that jumps again and again swings, and there the slow mean is what
 * keeps moves from chasing it: each jump doubles the time until the next one
 * counts.
 */

/** Root mean square change of an expert's tokens over its mean. */
const LEAST_CHANGE = 0.15;
/** Squared change over what noise gives; 1 is noise alone. */
const LEAST_OVER_NOISE = 4;
/** Windows in a row: one alone may be a burst of a single caller. */
const LEAST_WINDOWS = 2;
/** Windows from one jump to the next that counts. */
const FIRST_PATIENCE = 24;
/** Quiet for so many times its patience, a layer is as if new. */
const FORGIVEN_AFTER = 4;

/** How far one window lies from the mean, in one layer. */
export interface LayerDeviation {
  readonly squaredChange: number;
  readonly squaredLevel: number;
  /** What noise alone would give for squaredChange. */
  readonly noise: number;
}

export class JumpWatch {
  private readonly streak: Int32Array;
  private readonly sinceJump: Int32Array;
  private readonly patience: Int32Array;

  private constructor(layers: number) {
    this.streak = new Int32Array(layers);
    this.sinceJump = new Int32Array(layers).fill(FIRST_PATIENCE);
    this.patience = new Int32Array(layers).fill(FIRST_PATIENCE);
  }

  static create(layers: number): JumpWatch {
    return new JumpWatch(layers);
  }

  /** Takes in a window of a layer; true when its demand is elsewhere now. */
  observe(layer: number, deviation: LayerDeviation): boolean {
    this.sinceJump[layer]++;
    this.streak[layer] = isFar(deviation) ? this.streak[layer] + 1 : 0;
    if (this.streak[layer] < LEAST_WINDOWS) return false;
    this.streak[layer] = 0;
    return true;
  }

  /** Whether a new demand may count as one that lasts; it does from then on. */
  accept(layer: number): boolean {
    const { sinceJump, patience } = this;
    if (sinceJump[layer] < patience[layer]) return false;
    const isForgiven = sinceJump[layer] > FORGIVEN_AFTER * patience[layer];
    patience[layer] = isForgiven ? FIRST_PATIENCE : 2 * patience[layer];
    sinceJump[layer] = 0;
    return true;
  }
}

function isFar(deviation: LayerDeviation): boolean {
  const { squaredChange, squaredLevel, noise } = deviation;
  return (
    squaredChange > LEAST_CHANGE ** 2 * squaredLevel &&
    squaredChange > LEAST_OVER_NOISE * noise
  );
}
