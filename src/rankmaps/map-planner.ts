/**
 * A better expert map that few copies lead to. Every copy takes its rank's
 * link for a while, in which all passes of the group are slower, and by the
 * end of a long copy demand has turned again; so each map brings a rank only a
 * few new experts, those that relieve the group most, and the next map goes on
 * from there.
 */
import { LayerSearch, type SearchStep } from "../balance/layer-search.js";
import { EMPTY_SLOT, type GroupShape } from "../balance/types.js";
import { sum } from "../balance/numbers.js";
import type { MapSets, RankExperts } from "./types.js";

export interface MapLimits {
  /** Experts that a rank copies for one map, over all sets. */
  readonly copiesEachRank: number;
  /** Experts that a rank copies for one map in one set. */
  readonly copiesEachSet: number;
}

export interface MapPlan {
  readonly sets: MapSets;
  readonly copies: number;
  /** Work of the most loaded ranks over even work, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/**
 * Part of the work of the most loaded ranks that one copy has to save. A copy
 * slows all passes by a seventh for its time and takes the rank's link.
 */
const LEAST_SAVING_EACH_COPY = 0.003;
/** A set is left alone while its slowest rank is this close to even. */
const TOLERATED_EXCESS = 0.05;

interface SetState {
  readonly search: LayerSearch;
  readonly first: Int16Array;
  readonly even: number;
  readonly before: number;
  isDone: boolean;
}

/** One change, in the order in which they were found. */
interface PlannedStep {
  readonly set: number;
  readonly step: SearchStep;
  /** Work of the most loaded ranks of all sets once it is made. */
  readonly slowest: number;
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
   * Undefined when no map is worth a change. A rank that is slow counts with
   * what its work takes, so that experts move away from it: all ranks wait for
   * it in every step.
   */
  plan(
    map: MapSets,
    tokens: Float64Array,
    speeds: ArrayLike<number>,
  ): MapPlan | undefined {
    const sets = map.map((ranks, set) => this.load(ranks, tokens, speeds, set));
    const before = sum(sets.map((set) => set.before));
    const steps = bestPrefix(this.improve(sets), before);
    const last = steps.at(-1);
    if (last === undefined) return undefined;
    const even = sum(sets.map((set) => set.even));
    return {
      sets: sets.map(({ first }, set) => this.rankExperts(first, steps, set)),
      copies: copiesOf(steps),
      skewBefore: before / even,
      skewAfter: last.slowest / even,
    };
  }

  private load(
    ranks: MapSets[number],
    tokens: Float64Array,
    speeds: ArrayLike<number>,
    set: number,
  ): SetState {
    const { ranks: count, experts } = this.shape;
    const own = tokens.subarray(set * experts, (set + 1) * experts);
    const search = LayerSearch.create({ ...this.shape, layers: 1 });
    const first = this.slotsOf(ranks);
    search.load(first, own, new Float64Array(count), speeds);
    return {
      search,
      first,
      even: sum(own) / sum(speeds),
      before: search.slowest,
      isDone: false,
    };
  }

  /** Always relieves the set whose slowest rank is furthest from even. */
  private improve(sets: readonly SetState[]): readonly PlannedStep[] {
    const taken = new Int32Array(this.shape.ranks);
    const takenInSet = sets.map(() => new Int32Array(this.shape.ranks));
    const steps: PlannedStep[] = [];
    for (;;) {
      const index = worstOf(sets);
      if (index === undefined) return steps;
      const set = sets[index];
      const step = set.search.improve(1).at(0);
      if (step === undefined) {
        set.isDone = true;
        continue;
      }
      const slowest = sum(sets.map(({ search }) => search.slowest));
      steps.push({ set: index, step, slowest });
      for (const slot of step.slots) {
        const rank = Math.floor(slot / this.shape.slotsPerRank);
        taken[rank] += 1;
        takenInSet[index][rank] += 1;
        if (takenInSet[index][rank] >= this.limits.copiesEachSet) {
          set.search.close(rank);
        }
        if (taken[rank] >= this.limits.copiesEachRank) {
          for (const { search } of sets) search.close(rank);
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
    first: Int16Array,
    steps: readonly PlannedStep[],
    set: number,
  ): RankExperts {
    const { ranks, slotsPerRank } = this.shape;
    const slots = Array.from(first);
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

/** The steps up to which the work saved most outweighs the copies. */
function bestPrefix(
  steps: readonly PlannedStep[],
  before: number,
): readonly PlannedStep[] {
  const price = before * LEAST_SAVING_EACH_COPY;
  let copies = 0;
  let best = 0;
  let bestValue = 0;
  steps.forEach(({ step, slowest }, index) => {
    copies += step.slots.length;
    const value = before - slowest - copies * price;
    if (value <= bestValue) return;
    best = index + 1;
    bestValue = value;
  });
  return steps.slice(0, best);
}

function copiesOf(steps: readonly PlannedStep[]): number {
  return sum(steps.map(({ step }) => step.slots.length));
}

function worstOf(sets: readonly SetState[]): number | undefined {
  let worst: number | undefined;
  let mostExcess = 0;
  sets.forEach(({ search, even, isDone }, index) => {
    if (isDone || search.slowest <= even * (1 + TOLERATED_EXCESS)) return;
    const excess = search.slowest - even;
    if (excess <= mostExcess) return;
    worst = index;
    mostExcess = excess;
  });
  return worst;
}
