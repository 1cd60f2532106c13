/**
 * Counts of one entry's requests. accepted = answered + not-run + unknown +
 * broken-off + in flight must hold at every moment: a request that vanished
 * would break the sum.
 */
import type { Emit } from "../../internal.js";
import type { RequestOutcome } from "./request-task.js";

export interface ConservationCounts {
  readonly accepted: number;
  readonly answered: number;
  readonly "not-run": number;
  readonly unknown: number;
  readonly "broken-off": number;
  readonly inFlight: number;
}

export class Conservation {
  private accepted = 0;
  private readonly running = new Set<string>();
  private readonly finished: Record<RequestOutcome, number> = {
    answered: 0,
    "not-run": 0,
    unknown: 0,
    "broken-off": 0,
  };

  private constructor(private readonly emit: Emit) {}

  static create(emit: Emit): Conservation {
    return new Conservation(emit);
  }

  accept(request: string): void {
    this.accepted += 1;
    this.running.add(request);
  }

  finish(request: string, outcome: RequestOutcome): void {
    if (!this.running.delete(request)) this.violate(request);
    this.finished[outcome] += 1;
    const { accepted, inFlight, ...rest } = this.counts();
    const sum = Object.values(rest).reduce((a, b) => a + b, inFlight);
    if (sum !== accepted) this.violate(request);
  }

  counts(): ConservationCounts {
    const { accepted, finished, running } = this;
    return { accepted, ...finished, inFlight: running.size };
  }

  private violate(request: string): void {
    this.emit(104, { rule: "conservation", detail: request });
  }
}
