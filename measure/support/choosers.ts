/** Runner selection policies: the product's Placement and simple baselines. */
import { Right } from "purify-ts/Either";
import {
  defaultPlacementSettings,
  ignoreEvents,
  Placement,
  randomBelow,
  type PlacementChoice,
  type Now,
  type PlacedRequest,
  type PlacementRequest,
  type PlacementSettings,
  type PlacementTuning,
  type Random,
  type RunnerDescription,
} from "../../src/internal.js";

/**
 * The methods of Placement that an entry uses; baselines implement them, too.
 */
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

export function placementChooser(
  tuning: Partial<PlacementTuning> = {},
): CreateChooser {
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

/**
 * Picks a runner's index from this entry's requests in flight at each runner.
 */
type PickRunner = (inFlight: Int32Array, random: Random) => number;

/** A baseline that knows only its own requests in flight. */
function baselineChooser(createPick: () => PickRunner): CreateChooser {
  return ({ random, runners, settings, dataCentre }) => {
    const placementSettings = {
      ...defaultPlacementSettings(dataCentre),
      ...settings,
    };
    const pick = createPick();
    const inFlight = new Int32Array(runners.length);
    const indexes = new Map(
      runners.map(({ runner }, index) => [runner, index]),
    );
    const addInFlight = ({ choice }: PlacedRequest, change: number): void => {
      inFlight[indexes.get(choice.runner) ?? 0] += change;
    };
    const release = (placed: PlacedRequest): void => {
      addInFlight(placed, -1);
    };
    const ignore = (): void => undefined;
    return {
      choose: (request) => {
        const index = pickNotExcluded(pick, inFlight, random, runners, request);
        return Right(
          baselineChoice(
            runners[index],
            inFlight[index],
            request,
            placementSettings,
          ),
        );
      },
      onStarted: (placed) => {
        addInFlight(placed, 1);
      },
      onEnded: release,
      onFailed: release,
      onRefused: release,
      onReport: ignore,
      onCacheEvent: ignore,
    };
  };
}

/** Redraws at random while the pick is a runner that failed this request. */
function pickNotExcluded(
  pick: PickRunner,
  inFlight: Int32Array,
  random: Random,
  runners: readonly RunnerDescription[],
  { excluded }: PlacementRequest,
): number {
  const MAXIMUM_PICKS = 20;
  let index = pick(inFlight, random);
  for (let picks = 0; picks < MAXIMUM_PICKS; picks += 1) {
    if (excluded?.includes(runners[index].runner) !== true) return index;
    index = randomBelow(random, runners.length);
  }
  return index;
}

function baselineChoice(
  { runner, group, slots }: RunnerDescription,
  inFlight: number,
  { promptTokens, outputTokens }: PlacementRequest,
  { prefillMsPerToken, stepMs, queueShare }: PlacementSettings,
): PlacementChoice {
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

export const roundRobin = baselineChooser(() => {
  let next = 0;
  return (inFlight) => {
    next = (next + 1) % inFlight.length;
    return next;
  };
});

export const randomChoice = baselineChooser(
  () => (inFlight, random) => randomBelow(random, inFlight.length),
);

export const leastInFlight = baselineChooser(() => (inFlight, random) => {
  const start = randomBelow(random, inFlight.length);
  let best = start;
  for (let step = 1; step < inFlight.length; step += 1) {
    const index = (start + step) % inFlight.length;
    if (inFlight[index] < inFlight[best]) best = index;
  }
  return best;
});

export const twoChoices = baselineChooser(() => (inFlight, random) => {
  const first = randomBelow(random, inFlight.length);
  const second = randomBelow(random, inFlight.length);
  return inFlight[second] < inFlight[first] ? second : first;
});
