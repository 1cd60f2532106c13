import * as assert from "uvu/assert";
import { createRandom, failure, ignoreEvents } from "../../src/internal.js";
import { ignoreMeasurements } from "../../src/shared/metrics.js";
import {
  GroupPlanner,
  type GroupRank,
} from "../../src/rankmaps/group-planner.js";
import { SwitchRuns } from "../../src/rankmaps/switch-run.js";
import type { RankOrder } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";

const RANKS = 4;
const PLANNER = 0;
const HOLDER = 1;
const ENGINE = {
  slots: 8,
  stepsPerPass: 6,
  expertSets: 1,
  experts: 8,
  slotsPerRank: 3,
  maximumNewExperts: 1,
  expertCopyMs: 400,
};
/** The first expert is wanted far more than the others. */
const COUNTS = [40_000, 1000, 1000, 1000, 1000, 1000, 1000, 1000];

class Group {
  readonly engines = HeldEngines.create(RANKS, createRandom(1));
  readonly ordered: { readonly rank: number; readonly kind: string }[] = [];
  /** Versions that ranks were told to prepare. */
  readonly versions: number[] = [];
  private readonly runs = SwitchRuns.create();
  /** Ranks that don't answer any more. */
  readonly silent = new Set<number>();
  onOrder: (rank: number, order: RankOrder) => void = () => undefined;

  readonly ranks: readonly GroupRank[] = Array.from(
    { length: RANKS },
    (_, rank) => this.rankOf(rank),
  );

  planner = this.createPlanner();

  constructor() {
    this.engines.calm();
  }

  /** As the agent does once a rank couldn't be reached. */
  createPlanner(): GroupPlanner {
    return GroupPlanner.create({
      seat: { generation: 1, onFenced: () => undefined },
      runOf: (generation) => this.runs.of(generation),
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      pace: { look: () => undefined },
      engine: ENGINE,
      planner: PLANNER,
      holder: HOLDER,
    });
  }

  async play(steps: number): Promise<void> {
    for (let step = 0; step < steps; step += 1) {
      await this.planner.step(this.ranks);
      this.engines.pass();
    }
  }

  kindsAt(rank: number): readonly string[] {
    return this.ordered
      .filter((one) => one.rank === rank)
      .map(({ kind }) => kind);
  }

  private rankOf(rank: number): GroupRank {
    const order = (ordered: RankOrder, fencing: number): void => {
      this.ordered.push({ rank, kind: ordered.kind });
      if (ordered.kind === "prepare") this.versions.push(ordered.version);
      this.engines.send(rank, ordered, { epoch: 1, fencing });
      this.engines.deliver();
      this.onOrder(rank, ordered);
    };
    const accepted = { kind: "accepted", isDone: true } as const;
    return {
      address: `10.0.0.${rank}:1`,
      observe: () => {
        if (this.silent.has(rank)) return Promise.reject(failure(1607));
        const state = this.engines.states()[rank];
        const experts = [[rank, rank + RANKS]];
        const counts = rank === 0 ? COUNTS : [];
        return Promise.resolve({ state, counts, countedMs: 250, experts });
      },
      order: (ordered, { fencing }) => {
        if (this.silent.has(rank)) return Promise.reject(failure(1607));
        order(ordered, fencing);
        return Promise.resolve(accepted);
      },
      hold: ({ step, fence }) => {
        order({ kind: "hold", step }, fence.fencing);
        return Promise.resolve(accepted);
      },
    };
  }
}

describe("planner of a group", () => {
  it("arms its own rank after all others, under a held step", async () => {
    const group = new Group();
    for (let step = 0; step < 4; step += 1) {
      await group.planner.step(group.ranks);
      group.engines.pass();
    }
    for (let pass = 0; pass < 4; pass += 1) group.engines.pass();
    const arms = group.ordered.filter(({ kind }) => kind === "arm");
    assert.is(arms.length, RANKS);
    assert.is(arms.at(0)?.rank, HOLDER);
    assert.is(arms.at(-1)?.rank, PLANNER);
    assert.equal(group.kindsAt(HOLDER).slice(0, 4), [
      "prepare",
      "hold",
      "arm",
      "release",
    ]);
    assert.is(group.engines.history.mixedPasses, 0);
    assert.ok(group.engines.states().every(({ mapVersion }) => mapVersion > 0));
  });

  it("arms nobody when a rank falls silent after the hold", async () => {
    // The VM of a rank stands still right after the hold. Armed or not, nobody
    // could tell, so no rank is armed; and the step isn't let go from here,
    // because the holder's agent may have taken the switch over by then.
    const group = new Group();
    group.onOrder = (_, { kind }) => {
      if (kind === "hold") group.silent.add(3);
    };
    await group.planner.step(group.ranks);
    const failed = await group.planner
      .step(group.ranks)
      .catch((error: unknown) => error);
    assert.ok(failed instanceof Error);
    assert.equal(group.kindsAt(HOLDER), ["prepare", "hold"]);
    assert.not.ok(group.ordered.some(({ kind }) => kind === "arm"));
  });

  it("goes on with its versions after a rank was out of reach", async () => {
    // A rank is behind a cut for a second. The planner is made anew, under the
    // same seat, and the ranks have had its versions: counted from one again,
    // one map after the other is refused while the streams are late. And one
    // version may not stand for two maps.
    const group = new Group();
    await group.play(8);
    const [first] = group.versions;
    assert.is(group.engines.states()[0].mapVersion, first);
    group.silent.add(2);
    const failed = await group.planner
      .step(group.ranks)
      .catch((error: unknown) => error);
    assert.ok(failed instanceof Error);
    group.silent.delete(2);
    group.versions.length = 0;
    group.planner = group.createPlanner();
    await group.play(8);
    assert.ok(group.versions.length > 0);
    assert.ok(group.versions.every((version) => version > first));
    assert.ok(
      group.engines.states().every(({ mapVersion }) => mapVersion > first),
    );
  });
});
