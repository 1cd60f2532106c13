/**
 * Target `requests`: own answer, whole answer, truthful refusal, at most one
 * run of what may not be repeated, under every fault of the network and of
 * the processes.
 */
import type { Call, Safeguard } from "../src/internal.js";
import { checkHistories } from "./requests/check.js";
import { requestCommands } from "./requests/commands.js";
import { settle, violations } from "./requests/oracle.js";
import { World } from "./requests/world.js";
import type { FuzzTarget } from "./target.js";

const LONGEST_HISTORY = 50;

/** Safeguard to the histories within which its absence is noticed. */
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

/** About half of the answers end with their connection only. */
function marksEndOf({ request }: Call): boolean {
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
        createWorld: () =>
          World.create({ marksEndOf, ...(without ? { without } : {}) }),
        judge: (world) => {
          settle(world);
          return violations(world);
        },
        longest: LONGEST_HISTORY,
      },
      settings,
    );
    return Promise.resolve(result);
  },
};
