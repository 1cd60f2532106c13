/** Steps of a history: work, time, and network and process faults. */
import type {
  AgentNode,
  Connection,
  EntryNode,
  Simulation,
} from "./simulation.js";

/** Index of the command, and two numbers that select its objects. */
export type Step = readonly [kind: number, a: number, b: number];

export interface Command {
  readonly name: string;
  /** Relative frequency of this command. */
  readonly weight: number;
  readonly run: (simulation: Simulation, a: number, b: number) => void;
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

/** Steps without faults: requests, and time in these lengths. */
export const stepCommands = (lengthsMs: readonly number[]): Command[] => [
  {
    name: "accept",
    weight: 6,
    run: (simulation, a, b) => {
      const isRepeatable = (b & REPEATABLE_BIT) !== 0;
      const isStreamed = (b & STREAMED_BIT) !== 0;
      const entry = entryAt(simulation, a);
      if (!entry.paused) simulation.accept(entry, isRepeatable, isStreamed);
    },
  },
  {
    name: "step",
    weight: 8,
    run: (simulation, a) => {
      simulation.step(pickCyclic(lengthsMs, a) ?? 0);
    },
  },
  {
    name: "engine step",
    weight: 2,
    run: (simulation, a) => {
      simulation.stepEngine(agentAt(simulation, a));
    },
  },
];

const network: readonly Command[] = [
  {
    name: "deliver up out of order",
    weight: 3,
    run: (simulation, a, b) => {
      const connection = connectionAt(simulation, a);
      if (connection?.agent.paused === false)
        simulation.deliverToAgent(connection, b % 3);
    },
  },
  {
    name: "deliver down out of order",
    weight: 3,
    run: (simulation, a, b) => {
      const connection = connectionAt(simulation, a);
      if (connection?.entry.paused === false) {
        simulation.deliverToEntry(connection, b % 3);
      }
    },
  },
  {
    name: "duplicate a frame",
    weight: 2,
    run: (simulation, a, b) => {
      const connection = connectionAt(simulation, a);
      const up = connection?.toAgent.at(b >> 1);
      const down = connection?.toEntry.at(b >> 1);
      if (b % 2 === 0 && up !== undefined) connection?.toAgent.push(up);
      if (b % 2 === 1 && down !== undefined) connection?.toEntry.push(down);
    },
  },
  {
    name: "lose a frame",
    weight: 2,
    run: (simulation, a, b) => {
      const connection = connectionAt(simulation, a);
      if (b % 2 === 0) connection?.toAgent.splice(b >> 1, 1);
      else connection?.toEntry.splice(b >> 1, 1);
    },
  },
  {
    name: "corrupt a piece",
    weight: 1,
    run: (simulation, a, b) => {
      const down = connectionAt(simulation, a)?.toEntry;
      const frame = down?.at(b);
      if (frame?.kind !== "piece") return;
      down?.splice(b, 1, { ...frame, data: Buffer.from(CORRUPTED_PIECE) });
    },
  },
  {
    name: "silence a connection",
    weight: 3,
    run: (simulation, a) => {
      const connection = connectionAt(simulation, a);
      if (connection !== undefined) connection.silent = true;
    },
  },
  {
    name: "cut a connection",
    weight: 3,
    run: (simulation, a) => {
      const connection = connectionAt(simulation, a);
      if (connection !== undefined) simulation.cut(connection);
    },
  },
  {
    name: "partition",
    weight: 1,
    run: (simulation, a) => {
      simulation.partitioned = a % 2 === 0;
    },
  },
  {
    name: "lose a close or its reply",
    weight: 1,
    run: (simulation, _a, b) => {
      const close = simulation.closes.shift();
      if (close === undefined) return;
      if (b % 2 === 1 && !close.agent.paused) simulation.executeClose(close);
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

const processes: readonly Command[] = [
  {
    name: "cancel",
    weight: 1,
    run: (simulation, a, b) => {
      const request = pickCyclic([...simulation.callers.keys()], b);
      const entry = entryAt(simulation, a);
      if (request === undefined || entry.paused) return;
      entry.machine.cancel(request, simulation.now);
    },
  },
  {
    name: "restart agent",
    weight: 2,
    run: (simulation, a) => {
      simulation.restartAgent(agentAt(simulation, a));
    },
  },
  {
    name: "restart entry",
    weight: 1,
    run: (simulation, a) => {
      simulation.restartEntry(entryAt(simulation, a));
    },
  },
  {
    name: "pause or resume entry",
    weight: 1,
    run: (simulation, a) => {
      const entry = entryAt(simulation, a);
      entry.paused = !entry.paused;
    },
  },
  {
    name: "pause or resume agent",
    weight: 1,
    run: (simulation, a) => {
      const agent = agentAt(simulation, a);
      agent.paused = !agent.paused;
    },
  },
  {
    name: "toggle engine refusal",
    weight: 1,
    run: (simulation, a) => {
      const { engine } = agentAt(simulation, a);
      engine.isRefusing = !engine.isRefusing;
    },
  },
  {
    name: "restart engine",
    weight: 1,
    run: (simulation, a) => {
      const agent = agentAt(simulation, a);
      if (!agent.paused) simulation.restartEngine(agent);
    },
  },
  {
    name: "withdraw",
    weight: 1,
    run: (simulation, a, b) => {
      const agent = agentAt(simulation, a);
      const chosen = pickCyclic(withdrawableAttempts(simulation, agent), b);
      if (chosen === undefined || agent.paused) return;
      simulation.withdraw(agent, chosen.attempt, chosen.incarnation);
    },
  },
];

const leaving: readonly Command[] = [
  {
    name: "agent leaves",
    weight: 1,
    run: (simulation, a) => {
      const agent = agentAt(simulation, a);
      if (agent.paused || agent.leavingSince <= simulation.now) return;
      agent.machine.leave(10_000, simulation.now);
      agent.leavingSince = simulation.now;
    },
  },
];

export const requestCommands: readonly Command[] = [
  ...stepCommands(STEP_LENGTHS_MS),
  ...network,
  ...processes,
  ...leaving,
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
  [kind, a, b]: Step,
): void {
  commands[kind].run(simulation, a, b);
}

export function describeStep(
  commands: readonly Command[],
  [kind, a, b]: Step,
): string {
  return `${commands[kind].name} ${a} ${b}`;
}
