/**
 * Fuzz target `records`: records and responses of other programs, malformed
 * ones included.
 *
 * Oracle: readers return exactly the valid records, throw only errors of the
 * project's own error table, and lose no valid record because of a malformed
 * one.
 */
import fc from "fast-check";
import { answerStep, checkAnswer, type AnswerStep } from "./records/answers.js";
import {
  configurationKeys,
  configurationShape,
  checkConfigurations,
} from "./records/configurations.js";
import { checkPaceNotes, paceKeys, paceShape } from "./records/pace-notes.js";
import {
  checkRegister,
  registerKeys,
  registerShape,
} from "./records/register.js";
import { createStepArbitrary, type Step } from "./records/steps.js";
import { runHistories } from "./run-histories.js";
import type { FuzzTarget } from "./target.js";

const MAXIMUM_STEPS = 24;

type TopicName = "register" | "configuration" | "pace";

type Command =
  | { readonly about: TopicName; readonly step: Step }
  | { readonly about: "answer"; readonly step: AnswerStep };

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      about: fc.constant("register" as const),
      step: createStepArbitrary(registerShape, registerKeys.length),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      about: fc.constant("configuration" as const),
      step: createStepArbitrary(configurationShape, configurationKeys.length),
    }),
  },
  fc.record({
    about: fc.constant("pace" as const),
    step: createStepArbitrary(paceShape, paceKeys.length),
  }),
  fc.record({ about: fc.constant("answer" as const), step: answerStep }),
);

/** Runs the commands and returns the violations. */
export function checkRecords(commands: readonly Command[]): readonly string[] {
  const stepsFor = (name: TopicName): Step[] =>
    commands.flatMap((one) => (one.about === name ? [one.step] : []));
  const answers = commands.flatMap((one) =>
    one.about === "answer" ? checkAnswer(one.step) : [],
  );
  return [
    ...checkRegister(stepsFor("register")),
    ...checkConfigurations(stepsFor("configuration")),
    ...checkPaceNotes(stepsFor("pace")),
    ...answers,
  ];
}

export const recordsTarget: FuzzTarget = {
  name: "records",
  mutations: {},
  run: (settings) => {
    const history = fc.array(command, {
      minLength: 1,
      maxLength: MAXIMUM_STEPS,
      size: "max",
    });
    return Promise.resolve(runHistories(settings, history, checkRecords));
  },
};
