/** Ways to choose a runner: the baselines and the product's. */
import { Right } from "purify-ts/Either";
import {
  defaultPlacementSettings,
  ignoreEvents,
  Placement,
  randomBelow,
  type Choice,
  type Now,
  type Placed,
  type PlacementRequest,
  type PlacementSettings,
  type PlacementTuning,
  type Random,
  type RunnerDescription,
} from "../../src/internal.js";

/** What an entry asks and tells; the product's class has these methods. */
export type Chooser = Pick<
  Placement,
  | "choose"
  | "onStarted"
  | "onEnded"
  | "onFailed"
  | "onRefused"
  | "onReport"
  | "onCacheEvent"
>;

export interface ChooserInputs {
  readonly now: Now;
  readonly random: Random;
  readonly runners: readonly RunnerDescription[];
  readonly settings: Partial<PlacementSettings>;
  readonly dataCentre: string;
}

export type CreateChooser = (inputs: ChooserInputs) => Chooser;

export function ours(tuning: Partial<PlacementTuning> = {}): CreateChooser {
  return ({ now, random, runners, settings, dataCentre }) => {
    const placement = Placement.create({
      now,
      random,
      emit: ignoreEvents,
      settings: { ...defaultPlacementSettings(dataCentre), ...settings },
      tuning,
    });
    for (const runner of runners) placement.setRunner(runner);
    return placement;
  };
}

/** Picks an index by the own requests in flight at each runner. */
type PickRunner = (inFlight: Int32Array, random: Random) => number;

/** A baseline that knows its own requests in flight and nothing else. */
function simple(createPick: () => PickRunner): CreateChooser {
  return ({ random, runners, settings, dataCentre }) => {
    const site = { ...defaultPlacementSettings(dataCentre), ...settings };
    const pick = createPick();
    const inFlight = new Int32Array(runners.length);
    const indexes = new Map(
      runners.map(({ runner }, index) => [runner, index]),
    );
    const count = ({ choice }: Placed, by: number): void => {
      inFlight[indexes.get(choice.runner) ?? 0] += by;
    };
    const release = (placed: Placed): void => {
      count(placed, -1);
    };
    const ignore = (): void => undefined;
    return {
      choose: (request) => {
        const index = pickAllowed(pick, inFlight, random, runners, request);
        return Right(
          plainChoice(runners[index], inFlight[index], request, site),
        );
      },
      onStarted: (placed) => {
        count(placed, 1);
      },
      onEnded: release,
      onFailed: release,
      onRefused: release,
      onReport: ignore,
      onCacheEvent: ignore,
    };
  };
}

/** Tries again when the runner has already broken this request. */
function pickAllowed(
  pick: PickRunner,
  inFlight: Int32Array,
  random: Random,
  runners: readonly RunnerDescription[],
  { excluded }: PlacementRequest,
): number {
  const MOST_TRIES = 20;
  let index = pick(inFlight, random);
  for (let tries = 0; tries < MOST_TRIES; tries += 1) {
    if (excluded?.includes(runners[index].runner) !== true) return index;
    index = randomBelow(random, runners.length);
  }
  return index;
}

function plainChoice(
  { runner, group, slots }: RunnerDescription,
  inFlight: number,
  { promptTokens, outputTokens }: PlacementRequest,
  { prefillMsPerToken, stepMs, queueShare }: PlacementSettings,
): Choice {
  const nominalMs = promptTokens * prefillMsPerToken + outputTokens * stepMs;
  return {
    runner,
    group,
    waitMs: 0,
    nominalMs,
    serviceMs: nominalMs,
    cachedTokens: 0,
    importFrom: undefined,
    hasRoom: inFlight < slots + Math.ceil(slots * queueShare),
  };
}

export const roundRobin = simple(() => {
  let next = 0;
  return (inFlight) => {
    next = (next + 1) % inFlight.length;
    return next;
  };
});

export const randomChoice = simple(
  () => (inFlight, random) => randomBelow(random, inFlight.length),
);

export const leastInFlight = simple(() => (inFlight, random) => {
  const start = randomBelow(random, inFlight.length);
  let best = start;
  for (let step = 1; step < inFlight.length; step += 1) {
    const index = (start + step) % inFlight.length;
    if (inFlight[index] < inFlight[best]) best = index;
  }
  return best;
});

export const twoChoices = simple(() => (inFlight, random) => {
  const first = randomBelow(random, inFlight.length);
  const second = randomBelow(random, inFlight.length);
  return inFlight[second] < inFlight[first] ? second : first;
});
