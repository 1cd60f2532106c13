/** What must hold after every history, judged from engines and callers. */
import { DAMAGED } from "./commands.js";
import type { EngineRun } from "./engine.js";
import type { CallerView, World } from "./world.js";

const SETTLE_STEP_MS = 400;
const SETTLE_STEPS = 90;

/** Ends all faults that can end and lets every request come to its outcome. */
export function settle(world: World): void {
  world.partitioned = false;
  for (const entry of world.entries) entry.paused = false;
  for (const agent of world.agents) {
    agent.paused = false;
    agent.engine.refusing = false;
  }
  for (let step = 0; step < SETTLE_STEPS; step += 1) world.step(SETTLE_STEP_MS);
  // What a silent connection still holds arrives at the very end.
  for (const connection of world.connections) {
    while (world.deliverUp(connection, 0));
    while (world.deliverDown(connection, 0));
  }
}

export function violations(world: World): string[] {
  const found = [...world.violations];
  for (const view of world.callers.values()) {
    found.push(...callerViolations(world, view));
  }
  for (const { agent, attempt } of world.withdrawn) {
    const started = agent.engine.starts.some(
      (start) => start.attempt === attempt,
    );
    if (started) found.push(`${attempt} was withdrawn and started`);
  }
  for (const { runner, engine, leftAt } of world.agents) {
    const late = engine.starts.filter(({ at }) => at > leftAt).length;
    if (late > 0) found.push(`${runner} took ${late} new while leaving`);
  }
  return found;
}

function isWholeAnswer(run: EngineRun, pieces: readonly string[]): boolean {
  const text = pieces.join("");
  return run.versions.some((answer) => answer.join("") === text);
}

/** Damage, or an engine that generated anew, is only found out at the end. */
function isPartOfAnswer(run: EngineRun, pieces: readonly string[]): boolean {
  return pieces.every(
    (piece, index) =>
      piece === DAMAGED ||
      run.versions.some((answer) => answer[index] === piece),
  );
}

/** The pieces belong to one run of this very request. */
function isOwnAnswer(world: World, view: CallerView, whole: boolean): boolean {
  const { pieces, call } = view;
  const fits = whole ? isWholeAnswer : isPartOfAnswer;
  return world.agents.some(({ engine }) =>
    [...engine.runs.values()].some(
      (run) => run.call.request === call.request && fits(run, pieces),
    ),
  );
}

/** What may be said of an answer's end; the runs of a request are alike. */
function endOf(world: World, { call }: CallerView): "answered" | "unmarked" {
  const runs = world.agents.flatMap(({ engine }) => [...engine.runs.values()]);
  const own = runs.filter((run) => run.call.request === call.request);
  return own.every((run) => run.isEndMarked) ? "answered" : "unmarked";
}

function callerViolations(world: World, view: CallerView): string[] {
  const { call, outcomes, pieces, entryIncarnation } = view;
  const { request } = call;
  const found: string[] = [];
  const starts = world.agents.flatMap(({ engine }) =>
    engine.starts.filter((start) => start.request === request),
  ).length;
  const isAlive = world.entries.some(
    ({ incarnation }) => incarnation === entryIncarnation,
  );
  if (!call.repeatable && starts > 1)
    found.push(`${request} ran ${starts} times`);
  if (outcomes.length > 1) found.push(`${request} got several outcomes`);
  if (isAlive && outcomes.length === 0) found.push(`${request} vanished`);
  const [final] = outcomes as (CallerView["outcomes"][number] | undefined)[];
  if (final?.outcome === "not-run" && starts > 0) {
    found.push(`${request} was said not to have run`);
  }
  if (final?.outcome === "broken-off" && starts === 0) {
    found.push(`${request} was said to have started`);
  }
  const isWhole =
    final?.outcome === "answered" || final?.outcome === "unmarked";
  if (isWhole && final.outcome !== endOf(world, view)) {
    found.push(`${request} was said to be ${final.outcome}`);
  }
  if (isWhole && !view.headSeen) found.push(`${request} has no head`);
  if (pieces.length > 0 || isWhole) {
    if (!isOwnAnswer(world, view, isWhole)) {
      found.push(`${request} got a wrong answer: ${pieces.join("")}`);
    }
  }
  return found;
}
