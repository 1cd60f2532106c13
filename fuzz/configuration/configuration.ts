/**
 * Fuzz target `configuration`: every reader comes to the same verdicts as a
 * reading of the whole log, versions only rise, and nothing accepted reverts.
 */
import fc from "fast-check";
import { acceptanceRules, type AcceptanceRules } from "../../src/internal.js";
import { runHistories } from "../run-property.js";
import type { FuzzTarget } from "../target.js";
import { ConfigurationWorld, READERS } from "./world.js";

const LONGEST_HISTORY = 40;
const MUTATION_LIMIT = 2_000;

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

const reader = fc.nat({ max: READERS - 1 });
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

function runCommand(world: ConfigurationWorld, step: Command): void {
  switch (step.kind) {
    case "publish":
      world.publish(step.reader, step.formatVersion, step.isValid);
      return;
    case "repeat":
      world.repeat(step.back);
      return;
    case "store-checkpoint":
      world.storeCheckpoint(step.reader);
      return;
    case "append-stored":
      world.appendStored();
      return;
    case "adopt-stored":
      world.adoptStored(step.reader);
      return;
    case "read":
      world.read(step.reader);
      return;
    case "restart":
      world.restart(step.reader);
      return;
    case "trim":
      world.trim(step.count);
      return;
    case "outage":
      world.isDown = step.isDown;
  }
}

function runHistory(
  rules: AcceptanceRules,
  steps: readonly Command[],
): readonly string[] {
  const world = ConfigurationWorld.create(rules);
  for (const step of steps) runCommand(world, step);
  world.finish();
  return world.violations;
}

const { isNextLink } = acceptanceRules;

const mutants: Readonly<Partial<Record<string, AcceptanceRules>>> = {
  "base-unchecked": { ...acceptanceRules, isNextLink: () => true },
  "first-publication-twice": {
    ...acceptanceRules,
    isNextLink: (publication, offset, chain) =>
      publication.basedOn === null || isNextLink(publication, offset, chain),
  },
  "checkpoint-with-gap": { ...acceptanceRules, isUsable: () => true },
  "invalid-newer-format-passed-over": {
    ...acceptanceRules,
    linksWhenInvalid: () => false,
  },
};

export const configurationTarget: FuzzTarget = {
  name: "configuration",
  mutations: Object.fromEntries(
    Object.keys(mutants).map((name) => [name, MUTATION_LIMIT]),
  ),
  run: (settings) => {
    const { mutation } = settings;
    const rules = mutation === undefined ? acceptanceRules : mutants[mutation];
    if (rules === undefined) throw new RangeError(`no mutation ${mutation}`);
    const history = fc.array(command, {
      maxLength: LONGEST_HISTORY,
      size: "max",
    });
    return Promise.resolve(
      runHistories(settings, history, (steps) => runHistory(rules, steps)),
    );
  },
};
