/**
 * Background task that balances the experts of one group, window by window and
 * off the request path. The caller supplies the reports and switches the maps.
 */
import type { PlannerThread, PlannerWindow } from "./planner-thread.js";
import type { MovePlan } from "./types.js";

export interface PlannerTaskOptions {
  readonly planner: Pick<PlannerThread, "decide">;
  /** Resolves at the end of a window; undefined when there are no more. */
  readonly nextWindow: () => Promise<PlannerWindow | undefined>;
  /** Starts the switch to the plan's map; resolves once it is proposed. */
  readonly proposeMap: (plan: MovePlan) => Promise<void>;
}

/** Runs until the windows end; throws if a plan or a proposal fails. */
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
