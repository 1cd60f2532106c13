/**
 * Finds the parts of prompts that crash servers, from the runs that were lost in
 * crashes and the times at which parts were seen to be harmless.
 *
 * A part that crashes servers is in a run of each crash, recurs from one crash
 * to the next, and no run with it survives. Harmless parts of the same prompts
 * recur as well, so a crash that one part explains doesn't speak against others.
 */
import { CRASHES_IF_ONCE_HARMLESS, successiveRuns } from "./crash-evidence.js";
import { Crash } from "./crash.js";
import { commonCrashes } from "./simultaneous-crashes.js";
import type { CrashedRun, LostPromptRun } from "./types.js";

/**
 * Parts that can't be told apart because the same crashes speak against each of
 * them. Only requests with all of them are withheld: any other one shows which
 * of them is harmless.
 */
export type PartSet = readonly string[];

/**
 * When a part was last seen to be harmless, Unix ms; negative infinity if it
 * never was.
 */
export type HarmlessAt = (part: string) => number;

/**
 * Number of crashes, one after the other, after which a part is withheld, if its
 * neighbours in those prompts are known to be harmless.
 */
const CRASHES_UNTIL_WITHHELD = 2;
/**
 * The same if nothing is known of the neighbours, or if a single request was
 * lost in all of the crashes: it may have had bad luck.
 */
const CRASHES_IF_DOUBTFUL = 3;
interface PartHistory {
  readonly part: string;
  readonly isOnceHarmless: boolean;
  /** Crashes that speak against the part, by time. */
  readonly crashes: readonly Crash[];
  /** Number of them that came one after the other. */
  readonly successive: number;
}

export class CrashAnalysis {
  private readonly crashesOfRunner: ReadonlyMap<string, readonly Crash[]>;

  private constructor(
    crashes: readonly Crash[],
    private readonly explained: ReadonlySet<Crash>,
    readonly crashingParts: readonly PartSet[],
  ) {
    this.crashesOfRunner = groupByKeys(crashes, ({ runner }) => [runner]);
  }

  static create(
    runs: readonly LostPromptRun[],
    harmlessAt: HarmlessAt,
  ): CrashAnalysis {
    const crashes = Crash.group(runs);
    const explained = new Set<Crash>();
    const sets: PartSet[] = [];
    let histories = historiesOf(crashes, harmlessAt);
    let strongest = strongestOf(histories, harmlessAt);
    while (strongest !== undefined) {
      sets.push(indistinguishableFrom(strongest, histories));
      for (const crash of strongest.crashes) explained.add(crash);
      histories = histories.map(({ part, crashes: counted }) => {
        const left = counted.filter((crash) => !explained.has(crash));
        return historyOf(part, left, harmlessAt);
      });
      strongest = strongestOf(histories, harmlessAt);
    }
    return new CrashAnalysis(crashes, explained, sets);
  }

  /** Whether a crashing part explains the loss of the run. */
  isExplained(run: CrashedRun): boolean {
    const crash = this.crashOf(run);
    return crash !== undefined && this.explained.has(crash);
  }

  private crashOf(run: CrashedRun): Crash | undefined {
    const crashes = this.crashesOfRunner.get(run.runner) ?? [];
    return crashes.find((crash) => crash.includes(run));
  }
}

function groupByKeys(
  crashes: readonly Crash[],
  keysOf: (crash: Crash) => Iterable<string>,
): ReadonlyMap<string, readonly Crash[]> {
  const groups = new Map<string, Crash[]>();
  for (const crash of crashes) {
    for (const key of keysOf(crash)) {
      const known = groups.get(key);
      if (known === undefined) groups.set(key, [crash]);
      else known.push(crash);
    }
  }
  return groups;
}

/** Parts that were lost in a single crash aren't considered. */
function historiesOf(
  crashes: readonly Crash[],
  harmlessAt: HarmlessAt,
): readonly PartHistory[] {
  return [...groupByKeys(crashes, ({ parts }) => parts)]
    .filter(([, lostIn]) => lostIn.length >= CRASHES_UNTIL_WITHHELD)
    .map(([part, lostIn]) => {
      const common = commonCrashes(lostIn, crashes);
      return historyOf(part, common, harmlessAt);
    });
}

function historyOf(
  part: string,
  crashes: readonly Crash[],
  harmlessAt: HarmlessAt,
): PartHistory {
  const acquittedAtMs = harmlessAt(part);
  const counted = crashes.filter((crash) =>
    crash.runsWith(part).some(({ sentAtMs }) => sentAtMs >= acquittedAtMs),
  );
  const runs = counted.flatMap((crash) => crash.runsWith(part));
  return {
    part,
    isOnceHarmless: Number.isFinite(acquittedAtMs),
    crashes: counted,
    successive: successiveRuns({ runs, acquittedAtMs }).length,
  };
}

function strongestOf(
  histories: readonly PartHistory[],
  harmlessAt: HarmlessAt,
): PartHistory | undefined {
  return histories
    .filter((history) => isConclusive(history, harmlessAt))
    .toSorted(compareStrength)
    .at(0);
}

function isConclusive(history: PartHistory, harmlessAt: HarmlessAt): boolean {
  const { part, crashes, isOnceHarmless, successive } = history;
  if (isOnceHarmless) return successive >= CRASHES_IF_ONCE_HARMLESS;
  if (successive >= CRASHES_IF_DOUBTFUL) return true;
  if (successive < CRASHES_UNTIL_WITHHELD) return false;
  const runs = crashes.flatMap((crash) => crash.runsWith(part));
  const requests = new Set(runs.map(({ request }) => request));
  const neighbours = new Set(runs.flatMap(({ parts }) => parts));
  return (
    requests.size > 1 &&
    [...neighbours].some((one) => Number.isFinite(harmlessAt(one)))
  );
}

/** The strongest first. */
function compareStrength(one: PartHistory, other: PartHistory): number {
  return (
    Number(one.isOnceHarmless) - Number(other.isOnceHarmless) ||
    other.successive - one.successive ||
    other.crashes.length - one.crashes.length
  );
}

/** The part itself, and those against which the same crashes speak. */
function indistinguishableFrom(
  { isOnceHarmless, crashes }: PartHistory,
  histories: readonly PartHistory[],
): PartSet {
  return histories
    .filter(
      (other) =>
        other.isOnceHarmless === isOnceHarmless &&
        other.crashes.length === crashes.length &&
        other.crashes.every((crash) => crashes.includes(crash)),
    )
    .map(({ part }) => part);
}
