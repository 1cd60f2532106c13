/**
 * Runs a balancer in its own thread. A plan for 64 ranks and 60 layers takes
 * about 40 ms, and twice that the first time; on the agent's main thread it
 * would delay every stream the agent serves by as much.
 */
import { Worker } from "node:worker_threads";
import {
  failure,
  type ApricotdeckError,
  type Emit,
  type EventFields,
  type EventNumber,
} from "../internal.js";
import type { DecisionInput } from "./balancer.js";
import type { PlannerLimits } from "./planner.js";
import type { GroupShape, Plan, RankReport } from "./types.js";

/** Rank reports of one window and the inputs of the decision. */
export interface PlannerWindow extends DecisionInput {
  readonly reports: readonly RankReport[];
}

/** Worker data the thread is started with. */
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

interface PendingDecision {
  readonly resolve: (plan: Plan) => void;
  readonly reject: (error: ApricotdeckError) => void;
}

export class PlannerThread implements AsyncDisposable {
  private readonly pending: PendingDecision[] = [];
  private endError: ApricotdeckError | undefined;

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
    const workerUrl = new URL("./planner-worker.js", import.meta.url);
    return new PlannerThread(new Worker(workerUrl, { workerData: data }), emit);
  }

  /** Processes a window and decides; rejects with 1805 if the thread ended. */
  decide(window: PlannerWindow): Promise<Plan> {
    return new Promise((resolve, reject) => {
      if (this.endError !== undefined) {
        reject(this.endError);
        return;
      }
      this.pending.push({ resolve, reject });
      this.worker.postMessage(window);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.worker.terminate();
  }

  private onMessage(message: PlannerThreadMessage): void {
    if (message.kind === "event") this.emit(message.number, message.fields);
    else this.pending.shift()?.resolve(message.plan);
  }

  private end(error: ApricotdeckError): void {
    this.endError ??= error;
    for (const { reject } of this.pending.splice(0)) reject(this.endError);
  }
}
