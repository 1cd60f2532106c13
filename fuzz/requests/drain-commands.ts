/** Steps of the target `drain`: leaving and graceful ends, no crash. */
import { type Command, stepCommands } from "./commands.js";

const LONG_GRACE_MS = 40_000;
/** Just enough to notice a silent connection and to have it closed. */
const SHORT_GRACE_MS = 9_000;
const STEP_MS = [60, 300, 700, 1_300];

export const drainCommands: readonly Command[] = [
  ...stepCommands(STEP_MS),
  {
    name: "agent leaves",
    weight: 3,
    run: (world, a, b) => {
      const agent = world.agents[a % world.agents.length];
      if (agent.leftAt <= world.now) return;
      const graceMs = b % 4 === 0 ? SHORT_GRACE_MS : LONG_GRACE_MS;
      agent.machine.leave(graceMs, world.now);
      agent.leftAt = world.now;
    },
  },
  {
    name: "drained agent is replaced",
    weight: 3,
    run: (world, a) => {
      const agent = world.agents[a % world.agents.length];
      if (agent.drainedRuns !== undefined) world.restartAgent(agent, true);
    },
  },
  {
    name: "entry leaves",
    weight: 1,
    run: (world, a) => {
      const entry = world.entries[a % world.entries.length];
      entry.machine.leave(LONG_GRACE_MS, world.now);
    },
  },
  {
    name: "drained entry is replaced",
    weight: 2,
    run: (world, a) => {
      const entry = world.entries[a % world.entries.length];
      if (entry.machine.isDrained) world.restartEntry(entry);
    },
  },
  {
    name: "silence",
    weight: 1,
    run: (world, a) => {
      const connection = world.connections.at(-1 - (a % 4));
      if (connection !== undefined) connection.silent = true;
    },
  },
  {
    name: "cut",
    weight: 1,
    run: (world, a) => {
      const connection = world.connections.at(-1 - (a % 4));
      if (connection !== undefined) world.cut(connection);
    },
  },
];
