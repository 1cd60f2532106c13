/**
 * Fuzz target `configuration`: every reader reaches the same verdicts as an
 * oracle that reads the whole log, and versions in force never fall.
 */
import fc from "fast-check";
import { acceptanceRules, type AcceptanceRules } from "../../src/internal.js";
import { runHistories } from "../run-histories.js";
import type { FuzzTarget } from "../target.js";
import { ConfigurationSimulation, READER_COUNT } from "./simulation.js";

const MAXIMUM_HISTORY_STEPS = 40;
const MAXIMUM_MUTATION_RUNS = 2_000;

type Command =
  | {
      readonly kind: "publish";
      readonly reader: number;
      readonly formatVersion: number;
      readonly isValid: boolean;
    }
  | { readonly kind: "repeat"; readonly back: number }
  | { readonly kind: "store-checkpoint"; readonly reader: number }
  | { readonly kind: "append-stored" }
  | { readonly kind: "adopt-stored"; readonly reader: number }
  | { readonly kind: "read"; readonly reader: number }
  | { readonly kind: "restart"; readonly reader: number }
  | { readonly kind: "trim"; readonly count: number }
  | { readonly kind: "outage"; readonly isDown: boolean };

const reader = fc.nat({ max: READER_COUNT - 1 });
const kind = <K extends Command["kind"]>(value: K): fc.Arbitrary<K> =>
  fc.constant(value);

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: kind("publish"),
      reader,
      formatVersion: fc.constantFrom(1, 1, 2),
      isValid: fc.constantFrom(true, true, true, false),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("repeat"), back: fc.nat({ max: 9 }) }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: kind("store-checkpoint"), reader }),
  },
  { weight: 3, arbitrary: fc.record({ kind: kind("append-stored") }) },
  { weight: 3, arbitrary: fc.record({ kind: kind("adopt-stored"), reader }) },
  { weight: 9, arbitrary: fc.record({ kind: kind("read"), reader }) },
  { weight: 2, arbitrary: fc.record({ kind: kind("restart"), reader }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("trim"),
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("outage"), isDown: fc.boolean() }),
  },
);

function runCommand(simulation: ConfigurationSimulation, step: Command): void {
  switch (step.kind) {
    case "publish":
      simulation.publish(step.reader, step.formatVersion, step.isValid);
      return;
    case "repeat":
      simulation.repeat(step.back);
      return;
    case "store-checkpoint":
      simulation.storeCheckpoint(step.reader);
      return;
    case "append-stored":
      simulation.appendStored();
      return;
    case "adopt-stored":
      simulation.adoptStored(step.reader);
      return;
    case "read":
      simulation.read(step.reader);
      return;
    case "restart":
      simulation.restart(step.reader);
      return;
    case "trim":
      simulation.trim(step.count);
      return;
    case "outage":
      simulation.isDown = step.isDown;
  }
}

function runHistory(
  rules: AcceptanceRules,
  steps: readonly Command[],
): readonly string[] {
  const simulation = ConfigurationSimulation.create(rules);
  for (const step of steps) runCommand(simulation, step);
  simulation.finish();
  return simulation.violations;
}

const { isNextLink } = acceptanceRules;

const mutants: Readonly<Partial<Record<string, AcceptanceRules>>> = {
  "base-unchecked": { ...acceptanceRules, isNextLink: () => true },
  "first-publication-twice": {
    ...acceptanceRules,
    isNextLink: (publication, offset, chain) =>
      publication.basedOn === null || isNextLink(publication, offset, chain),
  },
  "checkpoint-with-gap": { ...acceptanceRules, isCheckpointUsable: () => true },
  "invalid-newer-format-passed-over": {
    ...acceptanceRules,
    linksInvalidContent: () => false,
  },
};

export const configurationTarget: FuzzTarget = {
  name: "configuration",
  mutations: Object.fromEntries(
    Object.keys(mutants).map((name) => [name, MAXIMUM_MUTATION_RUNS]),
  ),
  run: (settings) => {
    const { mutation } = settings;
    const rules = mutation === undefined ? acceptanceRules : mutants[mutation];
    if (rules === undefined) throw new RangeError(`no mutation ${mutation}`);
    const history = fc.array(command, {
      maxLength: MAXIMUM_HISTORY_STEPS,
      size: "max",
    });
    return Promise.resolve(
      runHistories(settings, history, (steps) => runHistory(rules, steps)),
    );
  },
};
