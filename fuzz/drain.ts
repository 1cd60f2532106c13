/**
 * Target `drain`: a leaving agent starts nothing, and the graceful exit of an
 * agent or an entry aborts no request, even while connections fall silent.
 */
import type { Safeguard } from "../src/internal.js";
import { checkHistories } from "./requests/check-histories.js";
import { drainCommands } from "./requests/drain-commands.js";
import { runToCompletion, findViolations } from "./requests/oracle.js";
import { Simulation } from "./requests/simulation.js";
import type { FuzzTarget } from "./target.js";

const MAXIMUM_HISTORY_STEPS = 40;
const DEADLINE_MS = 300_000;

/** Maximum histories until the absence of a safeguard is detected. */
const mutations = {
  "refuse-leaving": 3_000,
  "leaving-seen": 3_000,
  "resume-index": 3_000,
} as const satisfies Partial<Record<Safeguard, number>>;

function createSimulation(without: Safeguard | undefined): Simulation {
  return Simulation.create({
    deadlineMs: DEADLINE_MS,
    mayRetry: () => false,
    ...(without && { without }),
  });
}

/** Requests must be answered, or end as not run if no runner takes them. */
function findDrainViolations(simulation: Simulation): string[] {
  runToCompletion(simulation);
  // Requests that found no runner are refused at their deadline.
  simulation.step(DEADLINE_MS);
  const found = findViolations(simulation);
  for (const { call, outcomes } of simulation.callers.values()) {
    for (const { outcome, error } of outcomes) {
      if (outcome === "answered" || outcome === "not-run") continue;
      found.push(`${call.request} was aborted: ${outcome} ${error}`);
    }
  }
  for (const { runner, leavingSince, cutRunsAtDrain } of simulation.agents) {
    const isLeaving = leavingSince <= simulation.now;
    if (isLeaving && cutRunsAtDrain === undefined) {
      found.push(`${runner} never drained`);
    }
  }
  return found;
}

export const drainTarget: FuzzTarget = {
  name: "drain",
  mutations,
  run: (settings) => {
    const without = settings.mutation as Safeguard | undefined;
    const result = checkHistories(
      {
        commands: drainCommands,
        createSimulation: () => createSimulation(without),
        findViolations: findDrainViolations,
        maximumLength: MAXIMUM_HISTORY_STEPS,
      },
      settings,
    );
    return Promise.resolve(result);
  },
};
