/**
 * Target `drain`: a leaving agent starts nothing, and a graceful end of an
 * agent or an entry cuts no request, also while connections fall silent.
 */
import type { Safeguard } from "../src/internal.js";
import { checkHistories } from "./requests/check.js";
import { drainCommands } from "./requests/drain-commands.js";
import { settle, violations } from "./requests/oracle.js";
import { World } from "./requests/world.js";
import type { FuzzTarget } from "./target.js";

const LONGEST_HISTORY = 40;
const DEADLINE_MS = 300_000;

/** Safeguard to the histories within which its absence is noticed. */
const mutations = {
  "refuse-leaving": 3_000,
  "leaving-seen": 3_000,
  "resume-index": 3_000,
} as const satisfies Partial<Record<Safeguard, number>>;

function createWorld(without: Safeguard | undefined): World {
  return World.create({
    deadlineMs: DEADLINE_MS,
    mayRetry: () => false,
    ...(without && { without }),
  });
}

/** No answer is cut; a request that no runner may take is told so. */
function judge(world: World): string[] {
  settle(world);
  // Requests that found no runner are refused at their deadline.
  world.step(DEADLINE_MS);
  const found = violations(world);
  for (const { call, outcomes } of world.callers.values()) {
    for (const { outcome, error } of outcomes) {
      if (outcome === "answered" || outcome === "not-run") continue;
      found.push(`${call.request} was cut: ${outcome} ${error}`);
    }
  }
  for (const { runner, leftAt, drainedRuns } of world.agents) {
    const isLeaving = leftAt <= world.now;
    if (isLeaving && drainedRuns === undefined) {
      found.push(`${runner} never ended`);
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
        createWorld: () => createWorld(without),
        judge,
        longest: LONGEST_HISTORY,
      },
      settings,
    );
    return Promise.resolve(result);
  },
};
