/** Bounds the memory of the bodies of all requests that an agent runs. */
import type { Call } from "../../internal.js";
import { MemoryBudget, type HeldBytes } from "../../intake/memory-budget.js";
import {
  reportMemoryLimit,
  type MemoryReportOptions,
} from "../../intake/memory-report.js";

export interface RunBodiesOptions extends MemoryReportOptions {
  readonly capacityBytes: number;
}

/** The message that brought the body, and what is written to the engine. */
const COPIES_OF_BODY = 2;

export class RunBodies {
  private readonly budget: MemoryBudget;

  private constructor(private readonly options: RunBodiesOptions) {
    const { capacityBytes, measurements } = options;
    this.budget = MemoryBudget.create(capacityBytes, (heldBytes) => {
      measurements.set("heldRequestBytes", heldBytes);
    });
  }

  static create(options: RunBodiesOptions): RunBodies {
    return new RunBodies(options);
  }

  /** False if the request must be refused. */
  allows({ body }: Call): boolean {
    const bytes = COPIES_OF_BODY * body.length;
    if (this.budget.allows(bytes)) return true;
    reportMemoryLimit(this.options, bytes, this.budget.heldBytes);
    return false;
  }

  /** Counts the body of a run that starts, until its disposal. */
  hold({ body }: Call): HeldBytes {
    const held = this.budget.open();
    held.tryHold(COPIES_OF_BODY * body.length);
    return held;
  }
}
