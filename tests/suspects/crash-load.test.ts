import * as assert from "uvu/assert";
import { describe, it } from "../support/describe.js";
import {
  CrashWorld,
  type CrashOutcome,
  type CrashWorldOptions,
} from "./crash-world.js";

const SEEDS = 10;
const MORE_SEEDS = 50;
/** Aim: a request that crashes its servers takes two of them. */
const AIMED_CRASHES = 2;
/** The platform's bound on runs once entries have heard of the third crash. */
const MOST_LATE_RUNS = 3;
const ENTRIES = 6;

const USUAL: Omit<CrashWorldOptions, "seed"> = {
  copies: 1,
  storeAwayUntilMs: 0,
  entriesRestartAtMs: undefined,
};

async function playAll(
  options: Partial<CrashWorldOptions>,
  seeds: { readonly from: number; readonly count: number } = {
    from: 1,
    count: SEEDS,
  },
): Promise<readonly CrashOutcome[]> {
  const outcomes: CrashOutcome[] = [];
  for (let seed = seeds.from; seed < seeds.from + seeds.count; seed += 1) {
    const world = CrashWorld.create({ ...USUAL, ...options, seed });
    outcomes.push(await world.play());
  }
  return outcomes;
}

function mostOf(
  outcomes: readonly CrashOutcome[],
  field: keyof CrashOutcome,
): number {
  return Math.max(...outcomes.map((outcome) => outcome[field]));
}

/** One in 500, as for any refusal that callers don't deserve. */
function assertInnocentsServed(outcomes: readonly CrashOutcome[]): void {
  for (const { innocents, innocentsWithheld } of outcomes) {
    assert.ok(innocents > 10_000);
    assert.ok(innocentsWithheld <= innocents / 500, `${innocentsWithheld}`);
  }
}

describe("a request that crashes ranks, among thousands that don't", () => {
  it("takes two ranks, and no other caller is refused for it", async () => {
    // Ranks crash of other causes as well, and popular requests are lost in
    // several of those crashes.
    const outcomes = await playAll({});
    assert.ok(mostOf(outcomes, "crashes") <= AIMED_CRASHES);
    assertInnocentsServed(outcomes);
  });

  it("takes no more after all entries have started again", async () => {
    const outcomes = await playAll({ entriesRestartAtMs: 20_000 });
    assert.ok(mostOf(outcomes, "crashes") <= AIMED_CRASHES);
    assertInnocentsServed(outcomes);
  });

  it("reaches hardly a rank past the third crash when two come at once", async () => {
    // Both are on their way before either has crashed anything.
    const outcomes = await playAll({ copies: 2 });
    assert.ok(mostOf(outcomes, "crashes") <= 2 * AIMED_CRASHES);
    assert.ok(mostOf(outcomes, "lateRuns") <= MOST_LATE_RUNS);
    assertInnocentsServed(outcomes);
  });

  it("takes two ranks for each entry while the store is away", async () => {
    // Each entry learns for itself, and hears of no request that others have
    // brought to its end; the bound holds for those that reach the store.
    const outcomes = await playAll({ storeAwayUntilMs: 30_000 });
    const bound = AIMED_CRASHES * ENTRIES;
    assert.ok(mostOf(outcomes, "crashes") <= bound);
    assertInnocentsServed(outcomes);
  });

  it("takes no more on fifty further seeds while the store is away", async () => {
    // A lone entry can only guess which of several suspects is guilty.
    const seeds = { from: SEEDS + 1, count: MORE_SEEDS };
    const outcomes = await playAll({ storeAwayUntilMs: 30_000 }, seeds);
    const bound = AIMED_CRASHES * ENTRIES;
    assert.ok(mostOf(outcomes, "crashes") <= bound);
    assertInnocentsServed(outcomes);
  });
});
