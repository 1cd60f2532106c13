/**
 * The rest that the agent's backend server has asked for: with the Retry-After
 * of a 503 it says for how long it wants no runs.
 */
import type { Emit, Now } from "../../internal.js";
import { parseRetryAfterMs } from "../../shared/retry-after.js";

export interface RunnerRestOptions {
  readonly now: Now;
  readonly emit: Emit;
  /** Name of the backend server, for the log. */
  readonly runner: string;
}

const HTTP_UNAVAILABLE = 503;

export class RunnerRest {
  private untilMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RunnerRestOptions) {}

  static create(options: RunnerRestOptions): RunnerRest {
    return new RunnerRest(options);
  }

  /** Time left, ms; 0 if the backend server doesn't rest. */
  get leftMs(): number {
    return Math.max(0, Math.ceil(this.untilMs - this.options.now()));
  }

  onAnswer(status: number, retryAfter: string | undefined): void {
    if (status !== HTTP_UNAVAILABLE || retryAfter === undefined) return;
    const { now, emit, runner } = this.options;
    const restMs = parseRetryAfterMs(retryAfter);
    if (restMs === undefined) emit(264, { runner, value: retryAfter });
    if (restMs === undefined || restMs === 0) return;
    if (this.leftMs === 0) emit(262, { runner, cause: "request", restMs });
    this.untilMs = Math.max(this.untilMs, now() + restMs);
  }

  /** Nothing listens at the address: the incarnation has ended. */
  onUnreachable(): void {
    if (this.leftMs > 0) {
      const { emit, runner } = this.options;
      emit(265, { runner, cause: "incarnation-ended" });
    }
    this.untilMs = Number.NEGATIVE_INFINITY;
  }
}
