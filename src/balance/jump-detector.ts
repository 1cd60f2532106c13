/**
 * Distinguishes a lasting jump of demand from noise and drift, so that the
 * forecast can restart: otherwise the slow mean would keep the old demand for
 * minutes, and the planner would correct only half of the change.
 *
 * Demand that jumps repeatedly oscillates, and then the slow mean is what keeps
 * the planner from following each swing: each accepted jump doubles the
 * cooldown before the next one is accepted.
 */

/** Minimum change of the tokens relative to the means, as root mean squares. */
const MINIMUM_RELATIVE_CHANGE = 0.15;
/** Minimum squared change relative to noise; 1 is noise alone. */
const MINIMUM_NOISE_RATIO = 4;
/** Consecutive windows required: one may be a burst of a single caller. */
const MINIMUM_CONSECUTIVE_WINDOWS = 2;
/** Cooldown of a layer before its first jump and after a reset. */
const INITIAL_COOLDOWN_WINDOWS = 24;
/** The cooldown is reset after this multiple of it without accepted jumps. */
const COOLDOWN_RESET_FACTOR = 4;

/**
 * Deviation of a layer's tokens in one window from their means, as sums over
 * its experts.
 */
export interface LayerDeviation {
  readonly squaredChange: number;
  /** Sum of the squared means. */
  readonly squaredLevel: number;
  /** Expected squaredChange from noise alone. */
  readonly noise: number;
}

export class JumpDetector {
  private readonly consecutiveWindows: Int32Array;
  private readonly windowsSinceJump: Int32Array;
  private readonly cooldown: Int32Array;

  private constructor(layers: number) {
    this.consecutiveWindows = new Int32Array(layers);
    this.windowsSinceJump = new Int32Array(layers).fill(
      INITIAL_COOLDOWN_WINDOWS,
    );
    this.cooldown = new Int32Array(layers).fill(INITIAL_COOLDOWN_WINDOWS);
  }

  static create(layers: number): JumpDetector {
    return new JumpDetector(layers);
  }

  /** Processes a window of a layer; true if its demand has jumped. */
  observe(layer: number, deviation: LayerDeviation): boolean {
    this.windowsSinceJump[layer]++;
    this.consecutiveWindows[layer] = exceedsNoise(deviation)
      ? this.consecutiveWindows[layer] + 1
      : 0;
    if (this.consecutiveWindows[layer] < MINIMUM_CONSECUTIVE_WINDOWS)
      return false;
    this.consecutiveWindows[layer] = 0;
    return true;
  }

  /** Accepts a jump as lasting if the cooldown is over; starts the next one. */
  accept(layer: number): boolean {
    const { windowsSinceJump, cooldown } = this;
    if (windowsSinceJump[layer] < cooldown[layer]) return false;
    const isReset =
      windowsSinceJump[layer] > COOLDOWN_RESET_FACTOR * cooldown[layer];
    cooldown[layer] = isReset ? INITIAL_COOLDOWN_WINDOWS : 2 * cooldown[layer];
    windowsSinceJump[layer] = 0;
    return true;
  }
}

function exceedsNoise(deviation: LayerDeviation): boolean {
  const { squaredChange, squaredLevel, noise } = deviation;
  return (
    squaredChange > MINIMUM_RELATIVE_CHANGE ** 2 * squaredLevel &&
    squaredChange > MINIMUM_NOISE_RATIO * noise
  );
}
