/** Runs histories of steps against the oracle by fast-check. */
import * as fc from "fast-check";
import {
  checkParameters,
  type FuzzResult,
  type FuzzSettings,
} from "../target.js";
import {
  type Command,
  describeStep,
  runStep,
  type Step,
  weightedKinds,
} from "./commands.js";
import type { World } from "./world.js";

export interface HistoryTarget {
  readonly commands: readonly Command[];
  readonly createWorld: () => World;
  /** Brings the history to its end and returns what was violated. */
  readonly judge: (world: World) => readonly string[];
  readonly longest: number;
}

const PROGRESS_EVERY = 10_000;
const MOST_CHOICES = 7;

function steps(target: HistoryTarget): fc.Arbitrary<Step[]> {
  const kinds = weightedKinds(target.commands);
  const step = fc.tuple(
    fc.constantFrom(...kinds),
    fc.nat(MOST_CHOICES),
    fc.nat(MOST_CHOICES),
  );
  return fc.array(step, { maxLength: target.longest, size: "max" });
}

function runHistory(target: HistoryTarget, history: readonly Step[]) {
  const world = target.createWorld();
  for (const step of history) runStep(target.commands, world, step);
  return target.judge(world);
}

export function checkHistories(
  target: HistoryTarget,
  settings: FuzzSettings,
): FuzzResult {
  let histories = 0;
  let commands = 0;
  const property = fc.property(steps(target), (history) => {
    histories += 1;
    commands += history.length;
    if (histories % PROGRESS_EVERY === 0) settings.onProgress?.(histories);
    return runHistory(target, history).length === 0;
  });
  // A mutation only has to be noticed; its history needs no shrinking.
  const endOnFailure = settings.mutation !== undefined;
  const parameters = { ...checkParameters<[Step[]]>(settings), endOnFailure };
  const result = fc.check(property, parameters);
  const [history] = result.counterexample ?? [];
  const told =
    history === undefined
      ? []
      : [
          ...history.map((step) => describeStep(target.commands, step)),
          ...runHistory(target, history),
        ];
  return {
    histories,
    commands,
    violations: history === undefined ? 0 : 1,
    counterexample: told,
    path: result.counterexamplePath ?? "",
  };
}
