/** Steps of the target `drain`: graceful exits and no crashes. */
import { type Command, faultFreeCommands } from "./commands.js";

const LONG_GRACE_MS = 40_000;
/** Just enough to detect a silent connection and close its session. */
const SHORT_GRACE_MS = 9_000;
const STEP_LENGTHS_MS = [60, 300, 700, 1_300];

export const drainCommands: readonly Command[] = [
  ...faultFreeCommands(STEP_LENGTHS_MS),
  {
    name: "agent leaves",
    weight: 3,
    run: (simulation, first, second) => {
      const agent = simulation.agents[first % simulation.agents.length];
      if (agent.leavingSince <= simulation.now) return;
      const graceMs = second % 4 === 0 ? SHORT_GRACE_MS : LONG_GRACE_MS;
      agent.machine.leave(graceMs, simulation.now);
      agent.leavingSince = simulation.now;
    },
  },
  {
    name: "drained agent is replaced",
    weight: 3,
    run: (simulation, first) => {
      const agent = simulation.agents[first % simulation.agents.length];
      if (agent.cutRunsAtDrain !== undefined)
        simulation.restartAgent(agent, true);
    },
  },
  {
    name: "entry leaves",
    weight: 1,
    run: (simulation, first) => {
      const entry = simulation.entries[first % simulation.entries.length];
      entry.machine.leave(LONG_GRACE_MS, simulation.now);
    },
  },
  {
    name: "drained entry is replaced",
    weight: 2,
    run: (simulation, first) => {
      const entry = simulation.entries[first % simulation.entries.length];
      if (entry.machine.isDrained) simulation.restartEntry(entry);
    },
  },
  {
    name: "silence a connection",
    weight: 1,
    run: (simulation, first) => {
      const connection = simulation.connections.at(-1 - (first % 4));
      if (connection !== undefined) connection.silent = true;
    },
  },
  {
    name: "cut a connection",
    weight: 1,
    run: (simulation, first) => {
      const connection = simulation.connections.at(-1 - (first % 4));
      if (connection !== undefined) simulation.cut(connection);
    },
  },
];
