/** Checks random histories of steps against the oracle with fast-check. */
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
import type { Simulation } from "./simulation.js";

export interface HistoryTarget {
  readonly commands: readonly Command[];
  readonly createSimulation: () => Simulation;
  /** Runs the history to completion and returns the violations. */
  readonly findViolations: (simulation: Simulation) => readonly string[];
  readonly maximumLength: number;
}

const PROGRESS_INTERVAL_HISTORIES = 10_000;
const MAXIMUM_OPERAND = 7;

function historyArbitrary(target: HistoryTarget): fc.Arbitrary<Step[]> {
  const kinds = weightedKinds(target.commands);
  const step = fc.tuple(
    fc.constantFrom(...kinds),
    fc.nat(MAXIMUM_OPERAND),
    fc.nat(MAXIMUM_OPERAND),
  );
  return fc.array(step, { maxLength: target.maximumLength, size: "max" });
}

function runHistory(target: HistoryTarget, history: readonly Step[]) {
  const simulation = target.createSimulation();
  for (const step of history) runStep(target.commands, simulation, step);
  return target.findViolations(simulation);
}

export function checkHistories(
  target: HistoryTarget,
  settings: FuzzSettings,
): FuzzResult {
  let histories = 0;
  let commands = 0;
  const property = fc.property(historyArbitrary(target), (history) => {
    histories += 1;
    commands += history.length;
    if (histories % PROGRESS_INTERVAL_HISTORIES === 0)
      settings.onProgress?.(histories);
    return runHistory(target, history).length === 0;
  });
  // A mutation only has to be detected; its history needs no shrinking.
  const endOnFailure = settings.mutation !== undefined;
  const parameters = { ...checkParameters<[Step[]]>(settings), endOnFailure };
  const result = fc.check(property, parameters);
  const [history] = result.counterexample ?? [];
  const description =
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
    counterexample: description,
    path: result.counterexamplePath ?? "",
  };
}
