/** What has been tried for one request. */
import { wasSent, wasWithheld } from "./attempt-ends.js";
import type { AttemptHistory } from "./next-step.js";
import type { AttemptEnd, DirectCall } from "./types.js";

export interface AttemptRecordInput {
  readonly call: DirectCall;
  /** Whether an event of the stream was sent to the caller. */
  readonly hasStreamStarted: () => boolean;
  /** Takes a retry from the service's budget. */
  readonly tryTakeRetry: () => boolean;
}

export class AttemptRecord {
  /** Waiting time of the request before its first attempt, ms. */
  waitedMs = 0;
  private sentAttempts = 0;
  private unsentAttempts = 0;
  private hasPossiblyRun = false;

  private constructor(private readonly input: AttemptRecordInput) {}

  static create(input: AttemptRecordInput): AttemptRecord {
    return new AttemptRecord(input);
  }

  /** Whether a runner may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasPossiblyRun;
  }

  get attempts(): number {
    return this.sentAttempts + this.unsentAttempts;
  }

  hasStreamStarted(): boolean {
    return this.input.hasStreamStarted();
  }

  onAttemptEnd(end: AttemptEnd): void {
    if (wasSent(end)) this.sentAttempts += 1;
    else if (!wasWithheld(end)) this.unsentAttempts += 1;
    this.hasPossiblyRun ||= wasSent(end) && end.kind !== "not-run";
  }

  history(): AttemptHistory {
    const { call, tryTakeRetry } = this.input;
    return {
      route: call.route,
      sentAttempts: this.sentAttempts,
      unsentAttempts: this.unsentAttempts,
      remainingMs: call.deadlineAtMs - performance.now(),
      hasStreamStarted: this.hasStreamStarted(),
      mayHaveRun: this.hasPossiblyRun,
      tryTakeRetry,
    };
  }
}
