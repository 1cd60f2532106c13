/** Steps of a history: work, time, and network and process faults. */
import type {
  AgentNode,
  Connection,
  EntryNode,
  Simulation,
} from "./simulation.js";

/** Index of the command, and its two operands, which select its objects. */
export type Step = readonly [kind: number, first: number, second: number];

export interface Command {
  readonly name: string;
  /** Relative frequency of this command. */
  readonly weight: number;
  readonly run: (simulation: Simulation, first: number, second: number) => void;
}

const STEP_LENGTHS_MS = [10, 60, 300, 700, 1_300, 1_300, 1_900, 2_600];
export const CORRUPTED_PIECE = "damaged";
const REPEATABLE_BIT = 1;
const STREAMED_BIT = 2;

function pickCyclic<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

/** One of the four newest connections. */
function connectionAt(
  simulation: Simulation,
  index: number,
): Connection | undefined {
  return simulation.connections.at(-1 - (index % 4));
}

function entryAt(simulation: Simulation, index: number): EntryNode {
  return simulation.entries[index % simulation.entries.length];
}

function agentAt(simulation: Simulation, index: number): AgentNode {
  return simulation.agents[index % simulation.agents.length];
}

/** Attempts of non-repeatable work: in flight to an agent, or started. */
function withdrawableAttempts(simulation: Simulation, agent: AgentNode) {
  const inFlight = simulation.connections.flatMap(
    ({ toAgent, agentIncarnation }) =>
      toAgent.map((frame) => ({ frame, incarnation: agentIncarnation })),
  );
  const dispatched = inFlight.flatMap(({ frame, incarnation }) =>
    frame.kind === "dispatch" && !frame.call.repeatable
      ? [{ attempt: frame.attempt, incarnation }]
      : [],
  );
  const started = agent.engine.starts.filter(
    ({ attempt }) => agent.engine.runs.get(attempt)?.call.repeatable === false,
  );
  return [...dispatched, ...started];
}

/**
 * Commands without faults: accept a request, advance time by one of these
 * lengths, and run an engine.
 */
export const faultFreeCommands = (lengthsMs: readonly number[]): Command[] => [
  {
    name: "accept",
    weight: 6,
    run: (simulation, first, second) => {
      const isRepeatable = (second & REPEATABLE_BIT) !== 0;
      const isStreamed = (second & STREAMED_BIT) !== 0;
      const entry = entryAt(simulation, first);
      if (!entry.paused) simulation.accept(entry, isRepeatable, isStreamed);
    },
  },
  {
    name: "step",
    weight: 8,
    run: (simulation, first) => {
      simulation.step(pickCyclic(lengthsMs, first) ?? 0);
    },
  },
  {
    name: "engine step",
    weight: 2,
    run: (simulation, first) => {
      simulation.stepEngine(agentAt(simulation, first));
    },
  },
];

const networkCommands: readonly Command[] = [
  {
    name: "deliver to agent out of order",
    weight: 3,
    run: (simulation, first, second) => {
      const connection = connectionAt(simulation, first);
      if (connection?.agent.paused === false)
        simulation.deliverToAgent(connection, second % 3);
    },
  },
  {
    name: "deliver to entry out of order",
    weight: 3,
    run: (simulation, first, second) => {
      const connection = connectionAt(simulation, first);
      if (connection?.entry.paused === false) {
        simulation.deliverToEntry(connection, second % 3);
      }
    },
  },
  {
    name: "duplicate a frame",
    weight: 2,
    run: (simulation, first, second) => {
      const connection = connectionAt(simulation, first);
      const frameToAgent = connection?.toAgent.at(second >> 1);
      const frameToEntry = connection?.toEntry.at(second >> 1);
      if (second % 2 === 0 && frameToAgent !== undefined)
        connection?.toAgent.push(frameToAgent);
      if (second % 2 === 1 && frameToEntry !== undefined)
        connection?.toEntry.push(frameToEntry);
    },
  },
  {
    name: "lose a frame",
    weight: 2,
    run: (simulation, first, second) => {
      const connection = connectionAt(simulation, first);
      if (second % 2 === 0) connection?.toAgent.splice(second >> 1, 1);
      else connection?.toEntry.splice(second >> 1, 1);
    },
  },
  {
    name: "corrupt a piece",
    weight: 1,
    run: (simulation, first, second) => {
      const framesToEntry = connectionAt(simulation, first)?.toEntry;
      const frame = framesToEntry?.at(second);
      if (frame?.kind !== "piece") return;
      framesToEntry?.splice(second, 1, {
        ...frame,
        data: Buffer.from(CORRUPTED_PIECE),
      });
    },
  },
  {
    name: "silence a connection",
    weight: 3,
    run: (simulation, first) => {
      const connection = connectionAt(simulation, first);
      if (connection !== undefined) connection.silent = true;
    },
  },
  {
    name: "cut a connection",
    weight: 3,
    run: (simulation, first) => {
      const connection = connectionAt(simulation, first);
      if (connection !== undefined) simulation.cut(connection);
    },
  },
  {
    name: "partition",
    weight: 1,
    run: (simulation, first) => {
      simulation.partitioned = first % 2 === 0;
    },
  },
  {
    name: "lose a close or its reply",
    weight: 1,
    run: (simulation, _first, second) => {
      const close = simulation.closes.shift();
      if (close === undefined) return;
      if (second % 2 === 1 && !close.agent.paused)
        simulation.executeClose(close);
      simulation.failClose(close);
    },
  },
  {
    name: "execute a close, reply in flight",
    weight: 1,
    run: (simulation) => {
      const close = simulation.closes.at(0);
      if (close?.agent.paused === false) simulation.executeClose(close);
    },
  },
];

const processCommands: readonly Command[] = [
  {
    name: "cancel",
    weight: 1,
    run: (simulation, first, second) => {
      const request = pickCyclic([...simulation.callers.keys()], second);
      const entry = entryAt(simulation, first);
      if (request === undefined || entry.paused) return;
      entry.machine.cancel(request, simulation.now);
    },
  },
  {
    name: "restart agent",
    weight: 2,
    run: (simulation, first) => {
      simulation.restartAgent(agentAt(simulation, first));
    },
  },
  {
    name: "restart entry",
    weight: 1,
    run: (simulation, first) => {
      simulation.restartEntry(entryAt(simulation, first));
    },
  },
  {
    name: "pause or resume entry",
    weight: 1,
    run: (simulation, first) => {
      const entry = entryAt(simulation, first);
      entry.paused = !entry.paused;
    },
  },
  {
    name: "pause or resume agent",
    weight: 1,
    run: (simulation, first) => {
      const agent = agentAt(simulation, first);
      agent.paused = !agent.paused;
    },
  },
  {
    name: "toggle engine refusal",
    weight: 1,
    run: (simulation, first) => {
      const { engine } = agentAt(simulation, first);
      engine.isRefusing = !engine.isRefusing;
    },
  },
  {
    name: "restart engine",
    weight: 1,
    run: (simulation, first) => {
      const agent = agentAt(simulation, first);
      if (!agent.paused) simulation.restartEngine(agent);
    },
  },
  {
    name: "withdraw",
    weight: 1,
    run: (simulation, first, second) => {
      const agent = agentAt(simulation, first);
      const chosen = pickCyclic(
        withdrawableAttempts(simulation, agent),
        second,
      );
      if (chosen === undefined || agent.paused) return;
      simulation.withdraw(agent, chosen.attempt, chosen.incarnation);
    },
  },
];

const leavingCommands: readonly Command[] = [
  {
    name: "agent leaves",
    weight: 1,
    run: (simulation, first) => {
      const agent = agentAt(simulation, first);
      if (agent.paused || agent.leavingSince <= simulation.now) return;
      agent.machine.leave(10_000, simulation.now);
      agent.leavingSince = simulation.now;
    },
  },
];

export const requestCommands: readonly Command[] = [
  ...faultFreeCommands(STEP_LENGTHS_MS),
  ...networkCommands,
  ...processCommands,
  ...leavingCommands,
];

/** Indexes of the commands, each repeated as often as its weight. */
export function weightedKinds(commands: readonly Command[]): number[] {
  return commands.flatMap(({ weight }, index) =>
    Array.from({ length: weight }, () => index),
  );
}

export function runStep(
  commands: readonly Command[],
  simulation: Simulation,
  [kind, first, second]: Step,
): void {
  commands[kind].run(simulation, first, second);
}

export function describeStep(
  commands: readonly Command[],
  [kind, first, second]: Step,
): string {
  return `${commands[kind].name} ${first} ${second}`;
}
