/**
 * Which step is held next. A release may be carried out seconds late; if the
 * same rank held the same step again by then, in a group that has made no step
 * meanwhile, it would let that step begin with some ranks armed and others not.
 * So no step is held twice in an epoch: within a process steps only rise, and a
 * process that has just started passes over all that an earlier one on its VM
 * can have held.
 */

/**
 * Steps between the last one begun and the one that is held. From the hold to
 * the release a second look, the other ranks and the own one are asked in turn;
 * with fewer steps the group waits for that.
 */
export const STEPS_AHEAD = 4;
/**
 * No step further ahead is held. A group that makes no steps has no use for
 * another map, and this bounds what an earlier process can have held.
 */
export const MOST_STEPS_AHEAD = 8;

export class HoldSteps {
  private epoch: number | undefined;
  private floor = 0;

  static create(): HoldSteps {
    return new HoldSteps();
  }

  /** The group was seen; `begun`: the last step that it has begun. */
  look(epoch: number, begun: number): void {
    if (epoch === this.epoch) return;
    this.epoch = epoch;
    this.floor = begun + MOST_STEPS_AHEAD;
  }

  /** Undefined until the group has made a step since it was first seen. */
  next(begun: number): number | undefined {
    const step = Math.max(begun + STEPS_AHEAD, this.floor + 1);
    return step > begun + MOST_STEPS_AHEAD ? undefined : step;
  }

  /** The step is about to be ordered held. */
  take(step: number): void {
    this.floor = Math.max(this.floor, step);
  }
}
