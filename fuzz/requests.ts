/**
 * Target `requests`: under network and process faults, every request gets its
 * own complete answer or a correct outcome, and work that isn't repeatable
 * runs at most once.
 */
import type { Call, Safeguard } from "../src/internal.js";
import { checkHistories } from "./requests/check-histories.js";
import { requestCommands } from "./requests/commands.js";
import { runToCompletion, findViolations } from "./requests/oracle.js";
import { Simulation } from "./requests/simulation.js";
import type { FuzzTarget } from "./target.js";

const MAXIMUM_HISTORY_STEPS = 50;

/** Maximum histories until the absence of a safeguard is detected. */
const mutations = {
  tombstone: 3_000,
  "piece-index": 3_000,
  checksum: 3_000,
  "agent-incarnation": 3_000,
  "unanswered-close": 3_000,
  "refuse-leaving": 3_000,
  "resume-index": 3_000,
  "dispatch-once": 3_000,
  "started-marks": 3_000,
  "remember-starts": 10_000,
  "end-mark": 100,
} as const satisfies Partial<Record<Safeguard, number>>;

/** About half of the answers have no end mark. */
function marksAnswerEnd({ request }: Call): boolean {
  return Number(request.split("-").at(-1)) % 2 === 0;
}

export const requestsTarget: FuzzTarget = {
  name: "requests",
  mutations,
  run: (settings) => {
    const without = settings.mutation as Safeguard | undefined;
    const result = checkHistories(
      {
        commands: requestCommands,
        createSimulation: () =>
          Simulation.create({
            marksAnswerEnd,
            ...(without ? { without } : {}),
          }),
        findViolations: (simulation) => {
          runToCompletion(simulation);
          return findViolations(simulation);
        },
        maximumLength: MAXIMUM_HISTORY_STEPS,
      },
      settings,
    );
    return Promise.resolve(result);
  },
};
