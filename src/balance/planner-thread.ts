/**
 * A balancer in a thread of its own. A plan for 64 ranks and 60 layers takes
 * some 40 ms, and twice that the first time; an agent that made it between two
 * frames would hold back every stream it serves by as much.
 */
import { Worker } from "node:worker_threads";
import {
  failure,
  type ApricotdeckError,
  type Emit,
  type EventFields,
  type EventNumber,
} from "../internal.js";
import type { Decision } from "./balancer.js";
import type { PlannerLimits } from "./planner.js";
import type { GroupShape, Plan, RankReport } from "./types.js";

/** One window: what the ranks reported, and what is to be decided on. */
export interface PlannerWindow extends Decision {
  readonly reports: readonly RankReport[];
}

/** What the thread is started with. */
export interface PlannerThreadData {
  readonly shape: GroupShape;
  readonly limits?: PlannerLimits;
}

export type PlannerThreadMessage =
  | {
      readonly kind: "event";
      readonly number: EventNumber;
      readonly fields?: EventFields;
    }
  | { readonly kind: "plan"; readonly plan: Plan };

interface Waiting {
  readonly resolve: (plan: Plan) => void;
  readonly reject: (error: ApricotdeckError) => void;
}

export class PlannerThread implements AsyncDisposable {
  private readonly waiting: Waiting[] = [];
  private ended: ApricotdeckError | undefined;

  private constructor(
    private readonly worker: Worker,
    private readonly emit: Emit,
  ) {
    worker.on("message", (message: PlannerThreadMessage) => {
      this.onMessage(message);
    });
    worker.on("error", (error) => {
      this.end(failure(1805, { reason: "failed" }, error));
    });
    worker.on("exit", () => {
      this.end(failure(1805, { reason: "ended" }));
    });
  }

  static create(data: PlannerThreadData, emit: Emit): PlannerThread {
    const program = new URL("./planner-worker.js", import.meta.url);
    return new PlannerThread(new Worker(program, { workerData: data }), emit);
  }

  /** Takes in a window and decides; rejects with 1805 when the thread ended. */
  decide(window: PlannerWindow): Promise<Plan> {
    return new Promise((resolve, reject) => {
      if (this.ended !== undefined) {
        reject(this.ended);
        return;
      }
      this.waiting.push({ resolve, reject });
      this.worker.postMessage(window);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.worker.terminate();
  }

  private onMessage(message: PlannerThreadMessage): void {
    if (message.kind === "event") this.emit(message.number, message.fields);
    else this.waiting.shift()?.resolve(message.plan);
  }

  private end(error: ApricotdeckError): void {
    this.ended ??= error;
    for (const { reject } of this.waiting.splice(0)) reject(this.ended);
  }
}
