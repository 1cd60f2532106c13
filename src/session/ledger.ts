/**
 * Counts the outcomes of a process's requests and checks that none is lost:
 * accepted = answered + unmarked + not run + unknown + broken off + in flight.
 */
import type { Emit } from "../shared/events.js";
import { unreachable } from "../shared/exhaustive.js";
import type { FinalOutcome } from "./types.js";

export interface Conservation {
  readonly accepted: number;
  readonly answered: number;
  /** Forwarded to an end that the backend server didn't mark. */
  readonly unmarked: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly brokenOff: number;
  readonly inFlight: number;
}

export const NO_REQUESTS: Conservation = {
  accepted: 0,
  answered: 0,
  unmarked: 0,
  notRun: 0,
  unknown: 0,
  brokenOff: 0,
  inFlight: 0,
};

export function isConserved(figures: Conservation): boolean {
  const { accepted, ...parts } = figures;
  return accepted === Object.values(parts).reduce((a, b) => a + b, 0);
}

/** Sums the counts of two processes, for the status of a data centre. */
export function addConservation(
  a: Conservation,
  b: Conservation,
): Conservation {
  return {
    accepted: a.accepted + b.accepted,
    answered: a.answered + b.answered,
    unmarked: a.unmarked + b.unmarked,
    notRun: a.notRun + b.notRun,
    unknown: a.unknown + b.unknown,
    brokenOff: a.brokenOff + b.brokenOff,
    inFlight: a.inFlight + b.inFlight,
  };
}

export class ConservationLedger {
  private accepted = 0;
  private answered = 0;
  private unmarked = 0;
  private notRun = 0;
  private unknown = 0;
  private brokenOff = 0;

  private constructor(private readonly emit: Emit) {}

  static create(emit: Emit): ConservationLedger {
    return new ConservationLedger(emit);
  }

  accept(): void {
    this.accepted += 1;
  }

  finish(outcome: FinalOutcome): void {
    switch (outcome) {
      case "answered":
        this.answered += 1;
        return;
      case "unmarked":
        this.unmarked += 1;
        return;
      case "not-run":
        this.notRun += 1;
        return;
      case "unknown":
        this.unknown += 1;
        return;
      case "broken-off":
        this.brokenOff += 1;
        return;
      default:
        unreachable(outcome);
    }
  }

  /**
   * `inFlight` is counted independently by the owner of the requests, so that
   * a request that is lost or finished twice breaks the equation.
   */
  check(inFlight: number): Conservation {
    const figures: Conservation = {
      accepted: this.accepted,
      answered: this.answered,
      unmarked: this.unmarked,
      notRun: this.notRun,
      unknown: this.unknown,
      brokenOff: this.brokenOff,
      inFlight,
    };
    if (!isConserved(figures)) {
      this.emit(104, {
        rule: "conservation",
        detail: JSON.stringify(figures),
      });
    }
    return figures;
  }
}
