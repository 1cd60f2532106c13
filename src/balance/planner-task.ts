/**
 * The background task that keeps one group's experts balanced: window by
 * window, off the path of requests. Who collects the reports and who switches
 * maps is up to the arguments.
 */
import type { PlannerThread, PlannerWindow } from "./planner-thread.js";
import type { MovePlan } from "./types.js";

export interface PlannerTaskOptions {
  readonly planner: Pick<PlannerThread, "decide">;
  /** Waits for the end of a window; undefined when there are no more. */
  readonly nextWindow: () => Promise<PlannerWindow | undefined>;
  /** Starts the switch to the plan's map; done when it is proposed. */
  readonly proposeMap: (plan: MovePlan) => Promise<void>;
}

/** Runs until the windows end; a failed plan or proposal ends it by throwing. */
export async function runPlannerTask(
  options: PlannerTaskOptions,
): Promise<void> {
  const { planner, nextWindow, proposeMap } = options;
  for (;;) {
    const window = await nextWindow();
    if (window === undefined) return;
    const plan = await planner.decide(window);
    if (plan.kind === "move") await proposeMap(plan);
  }
}
