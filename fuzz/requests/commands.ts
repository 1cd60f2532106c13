/** Steps of a history: work, time, and every fault the world can have. */
import type { AgentNode, Connection, EntryNode, World } from "./world.js";

/** Kind of step and two numbers that choose its objects. */
export type Step = readonly [kind: number, a: number, b: number];

export interface Command {
  readonly name: string;
  /** Share of this command among all. */
  readonly weight: number;
  readonly run: (world: World, a: number, b: number) => void;
}

const STEP_MS = [10, 60, 300, 700, 1_300, 1_300, 1_900, 2_600];
export const DAMAGED = "damaged";
const REPEATABLE_BIT = 1;
const STREAMED_BIT = 2;

function pick<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

/** A connection under way; the newest ones most often. */
function connectionAt(world: World, index: number): Connection | undefined {
  return world.connections.at(-1 - (index % 4));
}

function entryAt(world: World, index: number): EntryNode {
  return world.entries[index % world.entries.length];
}

function agentAt(world: World, index: number): AgentNode {
  return world.agents[index % world.agents.length];
}

/** Attempts of calls that may run once: under way to an agent, or started. */
function attemptsOf(world: World, agent: AgentNode) {
  const underWay = world.connections.flatMap(({ up, agentIncarnation }) =>
    up.map((frame) => ({ frame, incarnation: agentIncarnation })),
  );
  const dispatched = underWay.flatMap(({ frame, incarnation }) =>
    frame.kind === "dispatch" && !frame.call.repeatable
      ? [{ attempt: frame.attempt, incarnation }]
      : [],
  );
  const started = agent.engine.starts.filter(
    ({ attempt }) => agent.engine.runs.get(attempt)?.call.repeatable === false,
  );
  return [...dispatched, ...started];
}

/** Work and time alone, with steps of these lengths. */
export const stepCommands = (lengthsMs: readonly number[]): Command[] => [
  {
    name: "accept",
    weight: 6,
    run: (world, a, b) => {
      const isRepeatable = (b & REPEATABLE_BIT) !== 0;
      const isStreamed = (b & STREAMED_BIT) !== 0;
      const entry = entryAt(world, a);
      if (!entry.paused) world.accept(entry, isRepeatable, isStreamed);
    },
  },
  {
    name: "step",
    weight: 8,
    run: (world, a) => {
      world.step(pick(lengthsMs, a) ?? 0);
    },
  },
  {
    name: "engine step",
    weight: 2,
    run: (world, a) => {
      world.stepEngine(agentAt(world, a));
    },
  },
];

const network: readonly Command[] = [
  {
    name: "deliver up out of order",
    weight: 3,
    run: (world, a, b) => {
      const connection = connectionAt(world, a);
      if (connection?.agent.paused === false)
        world.deliverUp(connection, b % 3);
    },
  },
  {
    name: "deliver down out of order",
    weight: 3,
    run: (world, a, b) => {
      const connection = connectionAt(world, a);
      if (connection?.entry.paused === false) {
        world.deliverDown(connection, b % 3);
      }
    },
  },
  {
    name: "double a frame",
    weight: 2,
    run: (world, a, b) => {
      const connection = connectionAt(world, a);
      const up = connection?.up.at(b >> 1);
      const down = connection?.down.at(b >> 1);
      if (b % 2 === 0 && up !== undefined) connection?.up.push(up);
      if (b % 2 === 1 && down !== undefined) connection?.down.push(down);
    },
  },
  {
    name: "lose a frame",
    weight: 2,
    run: (world, a, b) => {
      const connection = connectionAt(world, a);
      if (b % 2 === 0) connection?.up.splice(b >> 1, 1);
      else connection?.down.splice(b >> 1, 1);
    },
  },
  {
    name: "damage a piece",
    weight: 1,
    run: (world, a, b) => {
      const down = connectionAt(world, a)?.down;
      const frame = down?.at(b);
      if (frame?.kind !== "piece") return;
      down?.splice(b, 1, { ...frame, data: Buffer.from(DAMAGED) });
    },
  },
  {
    name: "silence",
    weight: 3,
    run: (world, a) => {
      const connection = connectionAt(world, a);
      if (connection !== undefined) connection.silent = true;
    },
  },
  {
    name: "cut",
    weight: 3,
    run: (world, a) => {
      const connection = connectionAt(world, a);
      if (connection !== undefined) world.cut(connection);
    },
  },
  {
    name: "partition",
    weight: 1,
    run: (world, a) => {
      world.partitioned = a % 2 === 0;
    },
  },
  {
    name: "lose a close or its answer",
    weight: 1,
    run: (world, _a, b) => {
      const close = world.closes.shift();
      if (close === undefined) return;
      if (b % 2 === 1 && !close.agent.paused) world.askClose(close);
      world.failClose(close);
    },
  },
  {
    name: "close answered, answer under way",
    weight: 1,
    run: (world) => {
      const close = world.closes.at(0);
      if (close?.agent.paused === false) world.askClose(close);
    },
  },
];

const processes: readonly Command[] = [
  {
    name: "cancel",
    weight: 1,
    run: (world, a, b) => {
      const request = pick([...world.callers.keys()], b);
      const entry = entryAt(world, a);
      if (request === undefined || entry.paused) return;
      entry.machine.cancel(request, world.now);
    },
  },
  {
    name: "restart agent",
    weight: 2,
    run: (world, a) => {
      world.restartAgent(agentAt(world, a));
    },
  },
  {
    name: "restart entry",
    weight: 1,
    run: (world, a) => {
      world.restartEntry(entryAt(world, a));
    },
  },
  {
    name: "pause or wake entry",
    weight: 1,
    run: (world, a) => {
      const entry = entryAt(world, a);
      entry.paused = !entry.paused;
    },
  },
  {
    name: "pause or wake agent",
    weight: 1,
    run: (world, a) => {
      const agent = agentAt(world, a);
      agent.paused = !agent.paused;
    },
  },
  {
    name: "engine refuses or takes",
    weight: 1,
    run: (world, a) => {
      const { engine } = agentAt(world, a);
      engine.refusing = !engine.refusing;
    },
  },
  {
    name: "restart engine",
    weight: 1,
    run: (world, a) => {
      const agent = agentAt(world, a);
      if (!agent.paused) world.restartEngine(agent);
    },
  },
  {
    name: "withdraw",
    weight: 1,
    run: (world, a, b) => {
      const agent = agentAt(world, a);
      const chosen = pick(attemptsOf(world, agent), b);
      if (chosen === undefined || agent.paused) return;
      world.withdraw(agent, chosen.attempt, chosen.incarnation);
    },
  },
];

const leaving: readonly Command[] = [
  {
    name: "agent leaves",
    weight: 1,
    run: (world, a) => {
      const agent = agentAt(world, a);
      if (agent.paused || agent.leftAt <= world.now) return;
      agent.machine.leave(10_000, world.now);
      agent.leftAt = world.now;
    },
  },
];

export const requestCommands: readonly Command[] = [
  ...stepCommands(STEP_MS),
  ...network,
  ...processes,
  ...leaving,
];

/** Index into the list of commands, each as often as its weight. */
export function weightedKinds(commands: readonly Command[]): number[] {
  return commands.flatMap(({ weight }, index) =>
    Array.from({ length: weight }, () => index),
  );
}

export function runStep(
  commands: readonly Command[],
  world: World,
  [kind, a, b]: Step,
): void {
  commands[kind].run(world, a, b);
}

export function describeStep(
  commands: readonly Command[],
  [kind, a, b]: Step,
): string {
  return `${commands[kind].name} ${a} ${b}`;
}
