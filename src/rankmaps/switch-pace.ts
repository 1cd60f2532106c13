/**
 * How many steps ahead the next one is held, by how long switches take and how
 * long steps do. A step that comes before its switch is through makes the whole
 * group wait, and every stream with it; one that comes late only delays the new
 * map. Orders without an answer cost 120 ms each, and many ranks more than few.
 */
import { MOST_STEPS_AHEAD, STEPS_AHEAD } from "./hold-steps.js";

/** Share of a new step time in the mean. */
const STEP_SHARE = 0.2;
/** What is left of the longest switch with each one that took less. */
const FADE = 0.8;
/** The last step begun is as old as a look when the hold arrives. */
const MARGIN_STEPS = 1;

interface Seen {
  readonly step: number;
  readonly atMs: number;
}

export class SwitchPace {
  private seen: Seen | undefined;
  private stepMs: number | undefined;
  private switchMs = 0;

  static create(): SwitchPace {
    return new SwitchPace();
  }

  get stepsAhead(): number {
    if (this.stepMs === undefined) return STEPS_AHEAD;
    const needed = Math.ceil(this.switchMs / this.stepMs) + MARGIN_STEPS;
    return Math.min(MOST_STEPS_AHEAD, Math.max(STEPS_AHEAD, needed));
  }

  /** `step`: the last one begun. An idle group or a new epoch tells nothing. */
  onLook(step: number, atMs: number): void {
    const { seen } = this;
    this.seen = { step, atMs };
    if (seen === undefined || step <= seen.step) return;
    const eachMs = (atMs - seen.atMs) / (step - seen.step);
    const { stepMs = eachMs } = this;
    this.stepMs = stepMs + STEP_SHARE * (eachMs - stepMs);
  }

  /** A step was let go so long after its hold was ordered. */
  onSwitch(tookMs: number): void {
    this.switchMs = Math.max(tookMs, FADE * this.switchMs);
  }
}
