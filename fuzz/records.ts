/**
 * Target `records`: whatever is written into the store's topics or answered in
 * their place, nothing gets past a reader but what it is meant to give, and
 * good records come out unharmed beside bad ones.
 */
import fc from "fast-check";
import { answerStep, judgeAnswer, type AnswerStep } from "./records/answers.js";
import {
  configurationKeys,
  configurationShape,
  judgeConfigurations,
} from "./records/configurations.js";
import { judgePaceNotes, paceKeys, paceShape } from "./records/pace-notes.js";
import {
  judgeRegister,
  registerKeys,
  registerShape,
} from "./records/register.js";
import { stepOf, type Step } from "./records/steps.js";
import { runHistories } from "./run-property.js";
import type { FuzzTarget } from "./target.js";

const MOST_STEPS = 24;

type TopicName = "register" | "configuration" | "pace";

type Command =
  | { readonly about: TopicName; readonly step: Step }
  | { readonly about: "answer"; readonly step: AnswerStep };

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      about: fc.constant("register" as const),
      step: stepOf(registerShape, registerKeys.length),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      about: fc.constant("configuration" as const),
      step: stepOf(configurationShape, configurationKeys.length),
    }),
  },
  fc.record({
    about: fc.constant("pace" as const),
    step: stepOf(paceShape, paceKeys.length),
  }),
  fc.record({ about: fc.constant("answer" as const), step: answerStep }),
);

/** Plays the commands; returns what the oracles found. */
export function judgeRecords(commands: readonly Command[]): readonly string[] {
  const about = (name: TopicName): Step[] =>
    commands.flatMap((one) => (one.about === name ? [one.step] : []));
  const answers = commands.flatMap((one) =>
    one.about === "answer" ? judgeAnswer(one.step) : [],
  );
  return [
    ...judgeRegister(about("register")),
    ...judgeConfigurations(about("configuration")),
    ...judgePaceNotes(about("pace")),
    ...answers,
  ];
}

export const recordsTarget: FuzzTarget = {
  name: "records",
  mutations: {},
  run: (settings) => {
    const history = fc.array(command, {
      minLength: 1,
      maxLength: MOST_STEPS,
      size: "max",
    });
    return Promise.resolve(runHistories(settings, history, judgeRecords));
  },
};
