/**
 * Plans a better expert map that takes few weight copies. Each copy occupies
 * its rank's link and slows down every step of the group while it lasts, and
 * demand may have shifted again by the end of a long copy. Each map therefore
 * brings a rank only a few new experts, those that relieve the group most, and
 * the next map continues from there.
 */
import { LayerSearch, type SearchStep } from "../balance/layer-search.js";
import { EMPTY_SLOT, type GroupShape } from "../balance/types.js";
import { sum } from "../balance/numbers.js";
import type { MapSets, RankExperts } from "./types.js";

export interface MapLimits {
  /**
   * Maximum number of experts that a rank copies for one map, over all sets.
   */
  readonly maximumCopiesPerRank: number;
  /** Maximum number of experts that a rank copies for one map in one set. */
  readonly maximumCopiesPerSet: number;
  /** Time that one copy takes, ms. */
  readonly expertCopyMs: number;
}

export interface MapPlan {
  readonly sets: MapSets;
  readonly copies: number;
  /** Load of the most loaded ranks relative to a balanced load. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/**
 * Share of the most loaded ranks' work that each copy of `LONG_COPY_MS` and
 * more has to save. A copy slows down every step by a seventh while it lasts
 * and occupies the rank's link, so a shorter one has to save less.
 */
const MINIMUM_SAVING_PER_LONG_COPY = 0.003;
const LONG_COPY_MS = 400;
/** Below this share a saving may be due to noise in the demand. */
const MINIMUM_SAVING_PER_COPY = 0.0002;
/**
 * Share of the most loaded ranks' work that a map has to save for each rank: a
 * switch takes three orders to each.
 */
const MINIMUM_SAVING_PER_RANK = 0.0002;
/**
 * Changes in a row without a net saving after which the search ends. Over all
 * sets it would find twenty times as many changes as are worth their copies.
 */
const PATIENCE = { base: 24, perSet: 2 };
/**
 * A set whose slowest rank exceeds the balanced load by less than this share
 * isn't changed.
 */
const TOLERATED_EXCESS = 0.05;

interface SetState {
  readonly search: LayerSearch;
  readonly initialSlots: Int16Array;
  readonly balancedLoad: number;
  readonly initialSlowest: number;
  isDone: boolean;
}

/** One change to the map, in the order of the search. */
interface PlannedStep {
  readonly set: number;
  readonly step: SearchStep;
  /** Sum over all sets of the most loaded rank's work after this step. */
  readonly totalSlowest: number;
}

export class MapPlanner {
  private constructor(
    private readonly shape: GroupShape,
    private readonly limits: MapLimits,
  ) {}

  static create(shape: GroupShape, limits: MapLimits): MapPlanner {
    return new MapPlanner(shape, limits);
  }

  /**
   * Undefined when no map justifies its copies. The work of a slow rank is
   * weighted by the time that it takes, so that experts move away from it: all
   * ranks wait for it in every step.
   */
  plan(
    map: MapSets,
    tokens: Float64Array,
    speeds: ArrayLike<number>,
  ): MapPlan | undefined {
    const sets = map.map((ranks, set) =>
      this.createSetState(ranks, tokens, speeds, set),
    );
    const initialSlowest = sum(sets.map((set) => set.initialSlowest));
    const steps = this.improve(sets, initialSlowest);
    const last = steps.at(-1);
    if (last === undefined) return undefined;
    const saved = initialSlowest - last.totalSlowest;
    const leastShare = this.shape.ranks * MINIMUM_SAVING_PER_RANK;
    if (saved < initialSlowest * leastShare) return undefined;
    const balancedLoad = sum(sets.map((set) => set.balancedLoad));
    return {
      sets: sets.map(({ initialSlots }, set) =>
        this.rankExperts(initialSlots, steps, set),
      ),
      copies: copiesOf(steps),
      skewBefore: initialSlowest / balancedLoad,
      skewAfter: last.totalSlowest / balancedLoad,
    };
  }

  private createSetState(
    ranks: MapSets[number],
    tokens: Float64Array,
    speeds: ArrayLike<number>,
    set: number,
  ): SetState {
    const { ranks: count, experts } = this.shape;
    const setTokens = tokens.subarray(set * experts, (set + 1) * experts);
    const search = LayerSearch.create({ ...this.shape, layers: 1 });
    const initialSlots = this.slotsOf(ranks);
    search.load(initialSlots, setTokens, new Float64Array(count), speeds);
    return {
      search,
      initialSlots,
      balancedLoad: sum(setTokens) / sum(speeds),
      initialSlowest: search.slowest,
      isDone: false,
    };
  }

  /**
   * Repeatedly improves the set whose slowest rank exceeds the balanced load
   * most. Returns the changes with the highest net saving after the cost of
   * their copies.
   */
  private improve(
    sets: readonly SetState[],
    initialSlowest: number,
  ): readonly PlannedStep[] {
    const best = BestPrefix.create(
      initialSlowest,
      minimumSavingPerCopy(this.limits.expertCopyMs),
    );
    const patience = PATIENCE.base + PATIENCE.perSet * sets.length;
    const copiesByRank = new Int32Array(this.shape.ranks);
    const copiesInSet = sets.map(() => new Int32Array(this.shape.ranks));
    const steps: PlannedStep[] = [];
    for (;;) {
      const index = mostImbalanced(sets);
      if (index === undefined || steps.length - best.length > patience) {
        return steps.slice(0, best.length);
      }
      const set = sets[index];
      const step = set.search.improve(1).at(0);
      if (step === undefined) {
        set.isDone = true;
        continue;
      }
      const totalSlowest = sum(sets.map(({ search }) => search.slowest));
      steps.push({ set: index, step, totalSlowest });
      best.add(step.slots.length, totalSlowest);
      for (const slot of step.slots) {
        const rank = Math.floor(slot / this.shape.slotsPerRank);
        copiesByRank[rank] += 1;
        copiesInSet[index][rank] += 1;
        if (copiesInSet[index][rank] >= this.limits.maximumCopiesPerSet) {
          set.search.closeRank(rank);
        }
        if (copiesByRank[rank] >= this.limits.maximumCopiesPerRank) {
          for (const { search } of sets) search.closeRank(rank);
        }
      }
    }
  }

  private slotsOf(ranks: readonly (readonly number[])[]): Int16Array {
    const { slotsPerRank } = this.shape;
    const slots = new Int16Array(ranks.length * slotsPerRank).fill(EMPTY_SLOT);
    ranks.forEach((experts, rank) => {
      slots.set(experts, rank * slotsPerRank);
    });
    return slots;
  }

  private rankExperts(
    initialSlots: Int16Array,
    steps: readonly PlannedStep[],
    set: number,
  ): RankExperts {
    const { ranks, slotsPerRank } = this.shape;
    const slots = Array.from(initialSlots);
    for (const { step } of steps.filter((planned) => planned.set === set)) {
      step.slots.forEach((slot, index) => {
        slots[slot] = step.experts[index];
      });
    }
    return Array.from({ length: ranks }, (_, rank) =>
      slots
        .slice(rank * slotsPerRank, (rank + 1) * slotsPerRank)
        .filter((expert) => expert !== EMPTY_SLOT),
    );
  }
}

/**
 * Tracks the prefix of the steps with the highest net saving after the cost of
 * its copies.
 */
class BestPrefix {
  /** Number of steps. */
  length = 0;
  private steps = 0;
  private copies = 0;
  private value = 0;

  private constructor(
    private readonly initialSlowest: number,
    private readonly savingPerCopy: number,
  ) {}

  /** `savingPerCopy`: share of `initialSlowest` that a copy has to save. */
  static create(initialSlowest: number, savingPerCopy: number): BestPrefix {
    return new BestPrefix(initialSlowest, savingPerCopy);
  }

  add(copies: number, totalSlowest: number): void {
    this.steps += 1;
    this.copies += copies;
    const cost = this.copies * this.savingPerCopy * this.initialSlowest;
    const value = this.initialSlowest - totalSlowest - cost;
    if (value <= this.value) return;
    this.value = value;
    this.length = this.steps;
  }
}

function minimumSavingPerCopy(expertCopyMs: number): number {
  const share = Math.min(1, expertCopyMs / LONG_COPY_MS);
  return Math.max(
    MINIMUM_SAVING_PER_COPY,
    MINIMUM_SAVING_PER_LONG_COPY * share,
  );
}

function copiesOf(steps: readonly PlannedStep[]): number {
  return sum(steps.map(({ step }) => step.slots.length));
}

function mostImbalanced(sets: readonly SetState[]): number | undefined {
  let worst: number | undefined;
  let largestExcess = 0;
  sets.forEach(({ search, balancedLoad, isDone }, index) => {
    if (isDone || search.slowest <= balancedLoad * (1 + TOLERATED_EXCESS))
      return;
    const excess = search.slowest - balancedLoad;
    if (excess <= largestExcess) return;
    worst = index;
    largestExcess = excess;
  });
  return worst;
}
