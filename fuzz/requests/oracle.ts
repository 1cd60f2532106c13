/** Invariants checked after every history, from engines and callers. */
import { CORRUPTED_PIECE } from "./commands.js";
import type { EngineRun } from "./engine.js";
import type { CallerView, Simulation } from "./simulation.js";

const COMPLETION_STEP_MS = 400;
const COMPLETION_STEPS = 90;

/**
 * Ends the transient faults and runs long enough for every request to get an
 * outcome.
 */
export function runToCompletion(simulation: Simulation): void {
  simulation.partitioned = false;
  for (const entry of simulation.entries) entry.paused = false;
  for (const agent of simulation.agents) {
    agent.paused = false;
    agent.engine.isRefusing = false;
  }
  for (let step = 0; step < COMPLETION_STEPS; step += 1)
    simulation.step(COMPLETION_STEP_MS);
  // Frames stuck in silent connections arrive last.
  for (const connection of simulation.connections) {
    while (simulation.deliverToAgent(connection, 0));
    while (simulation.deliverToEntry(connection, 0));
  }
}

export function findViolations(simulation: Simulation): string[] {
  const found = [...simulation.invariantViolations];
  for (const view of simulation.callers.values()) {
    found.push(...callerViolations(simulation, view));
  }
  for (const { agent, attempt } of simulation.withdrawn) {
    const started = agent.engine.starts.some(
      (start) => start.attempt === attempt,
    );
    if (started) found.push(`${attempt} was withdrawn and started`);
  }
  for (const { runner, engine, leavingSince } of simulation.agents) {
    const late = engine.starts.filter(({ at }) => at > leavingSince).length;
    if (late > 0) found.push(`${runner} started ${late} runs while leaving`);
  }
  return found;
}

function isCompleteAnswer(run: EngineRun, pieces: readonly string[]): boolean {
  const text = pieces.join("");
  return run.generations.some((answer) => answer.join("") === text);
}

/** Corruption and regeneration are detected only at the end of an answer. */
function isPartialAnswer(run: EngineRun, pieces: readonly string[]): boolean {
  return pieces.every(
    (piece, index) =>
      piece === CORRUPTED_PIECE ||
      run.generations.some((answer) => answer[index] === piece),
  );
}

/** The pieces belong to one run of this request. */
function isOwnAnswer(
  simulation: Simulation,
  view: CallerView,
  isComplete: boolean,
): boolean {
  const { pieces, call } = view;
  const matches = isComplete ? isCompleteAnswer : isPartialAnswer;
  return simulation.agents.some(({ engine }) =>
    [...engine.runs.values()].some(
      (run) => run.call.request === call.request && matches(run, pieces),
    ),
  );
}

/** Expected outcome of a complete answer; all runs have the same end mark. */
function expectedAnswerOutcome(
  simulation: Simulation,
  { call }: CallerView,
): "answered" | "unmarked" {
  const runs = simulation.agents.flatMap(({ engine }) => [
    ...engine.runs.values(),
  ]);
  const own = runs.filter((run) => run.call.request === call.request);
  return own.every((run) => run.isEndMarked) ? "answered" : "unmarked";
}

function callerViolations(simulation: Simulation, view: CallerView): string[] {
  const { call, outcomes, pieces, entryIncarnation } = view;
  const { request } = call;
  const found: string[] = [];
  const starts = simulation.agents.flatMap(({ engine }) =>
    engine.starts.filter((start) => start.request === request),
  ).length;
  const isAlive = simulation.entries.some(
    ({ incarnation }) => incarnation === entryIncarnation,
  );
  if (!call.repeatable && starts > 1)
    found.push(`${request} ran ${starts} times`);
  if (outcomes.length > 1) found.push(`${request} got several outcomes`);
  if (isAlive && outcomes.length === 0) found.push(`${request} got no outcome`);
  const [final] = outcomes as (CallerView["outcomes"][number] | undefined)[];
  if (final?.outcome === "not-run" && starts > 0) {
    found.push(`${request} was reported as not run, but it started`);
  }
  if (final?.outcome === "broken-off" && starts === 0) {
    found.push(`${request} was reported as broken off, but it never started`);
  }
  const isComplete =
    final?.outcome === "answered" || final?.outcome === "unmarked";
  if (isComplete && final.outcome !== expectedAnswerOutcome(simulation, view)) {
    found.push(`${request} was wrongly reported as ${final.outcome}`);
  }
  if (isComplete && !view.headReceived) found.push(`${request} has no head`);
  if (pieces.length > 0 || isComplete) {
    if (!isOwnAnswer(simulation, view, isComplete)) {
      found.push(`${request} got a wrong answer: ${pieces.join("")}`);
    }
  }
  return found;
}
