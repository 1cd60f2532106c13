/**
 * Chooses the step that is held next. A release may be carried out seconds
 * late. If the same rank held the same step again by then, in a group that has
 * made no steps meanwhile, the late release would let that step begin with only
 * some ranks armed. So no step is held twice in an epoch: within a process the
 * steps only increase, and a process that has just started skips every step
 * that an earlier process on its VM can have held.
 */

/** Least number of steps between the latest step and the held one. */
export const HOLD_LEAD_STEPS = 4;
/**
 * No step further ahead than this is held. A group that makes no steps needs no
 * new map, and the limit bounds what an earlier process can have held.
 */
export const MAXIMUM_HOLD_LEAD_STEPS = 8;
/**
 * The same limit for groups of more than `NARROW_GROUP_RANKS`, whose ranks take
 * longer to arm. The number of ranks is known to every process, and an earlier
 * one used the same limit.
 */
export const MAXIMUM_WIDE_HOLD_LEAD_STEPS = 24;
const NARROW_GROUP_RANKS = 24;

export class HoldStepAllocator {
  private epoch: number | undefined;
  private highestExcluded = 0;
  private maximumLead = MAXIMUM_HOLD_LEAD_STEPS;

  static create(): HoldStepAllocator {
    return new HoldStepAllocator();
  }

  /**
   * Call when the group was observed. `latestStep`: the latest step that it has
   * begun. `ranks`: size of the group.
   */
  onObserved(epoch: number, latestStep: number, ranks = 1): void {
    if (epoch === this.epoch) return;
    this.epoch = epoch;
    this.maximumLead =
      ranks > NARROW_GROUP_RANKS
        ? MAXIMUM_WIDE_HOLD_LEAD_STEPS
        : MAXIMUM_HOLD_LEAD_STEPS;
    this.highestExcluded = latestStep + this.maximumLead;
  }

  /**
   * `leadSteps`: steps that the group makes from the hold to the release; with
   * fewer, the whole group would wait. Undefined until the group has made
   * enough steps since it was first observed.
   */
  next(latestStep: number, leadSteps = HOLD_LEAD_STEPS): number | undefined {
    const lead = Math.max(
      HOLD_LEAD_STEPS,
      Math.min(leadSteps, this.maximumLead),
    );
    const step = Math.max(latestStep + lead, this.highestExcluded + 1);
    // A group that has the hold ahead of it for long may have lost its planner
    // by the time it gets there.
    const limit = Math.max(lead, MAXIMUM_HOLD_LEAD_STEPS);
    return step > latestStep + limit ? undefined : step;
  }

  /** Call before the hold of the step is ordered. */
  markUsed(step: number): void {
    this.highestExcluded = Math.max(this.highestExcluded, step);
  }
}
