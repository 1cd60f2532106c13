/** Expert balancing policies that the skew measurement compares. */
import {
  Balancer,
  collectTokens,
  ignoreEvents,
  movesBetween,
  repack,
  type ExpertMap,
  type GroupShape,
  type MoveCosts,
  type PlannerLimits,
  type RankReport,
} from "../src/internal.js";

export interface PolicySettings {
  readonly shape: GroupShape;
  readonly costs: MoveCosts;
  readonly skewWeight: number;
  /** Windows between two full repacks, for the repack policy. */
  readonly repackPeriod: number;
  readonly limits?: PlannerLimits;
}

export interface Policy {
  readonly observe: (map: ExpertMap, reports: readonly RankReport[]) => void;
  /** The next map, or undefined to keep the current one. */
  readonly decide: (
    map: ExpertMap,
    switchPending: boolean,
  ) => ExpertMap | undefined;
  /**
   * Divides the request work among the ranks; the trace's division if absent.
   */
  readonly placeRequests?: (map: ExpertMap, total: number) => Float64Array;
}

export type CreatePolicy = (settings: PolicySettings) => Policy;

function createStatic(): Policy {
  return { observe: () => undefined, decide: () => undefined };
}

/** Repacks all experts every period, for the mean load of that period. */
function createRepack({ shape, repackPeriod }: PolicySettings): Policy {
  const total = new Float64Array(shape.layers * shape.experts);
  const equalRanks = {
    speeds: new Float64Array(shape.ranks).fill(1),
    requestTokens: new Float64Array(shape.ranks),
  };
  let windows = 0;
  return {
    observe: (map, reports) => {
      collectTokens(map, reports).forEach((tokens, index) => {
        total[index] += Math.max(tokens, 0);
      });
      windows++;
    },
    decide: (map, switchPending) => {
      if (switchPending || windows < repackPeriod) return undefined;
      const next = repack(map, total, equalRanks);
      total.fill(0);
      windows = 0;
      return movesBetween(map, next).length > 0 ? next : undefined;
    },
  };
}

function createIncremental(settings: PolicySettings): Policy {
  const { shape, costs, skewWeight, limits } = settings;
  const balancer = Balancer.create(shape, ignoreEvents, limits);
  return balancerPolicy(balancer, costs, skewWeight);
}

function balancerPolicy(
  balancer: Balancer,
  costs: MoveCosts,
  skewWeight: number,
): Policy {
  return {
    observe: (map, reports) => {
      balancer.observe(map, reports);
    },
    decide: (map, switchPending) => {
      const plan = balancer.decide({ map, switchPending, costs, skewWeight });
      return plan.kind === "move" ? plan.map : undefined;
    },
  };
}

/** Places requests where the expert load leaves time; never changes the map. */
function createPlacementOnly(settings: PolicySettings): Policy {
  const { placeRequests, observe } = createJoint(settings);
  const { decide } = createStatic();
  return { observe, decide, ...(placeRequests ? { placeRequests } : {}) };
}

/** Places requests and experts by the same load estimate. */
function createJoint(settings: PolicySettings): Policy {
  const { shape, costs, skewWeight, limits } = settings;
  const balancer = Balancer.create(shape, ignoreEvents, limits);
  return {
    ...balancerPolicy(balancer, costs, skewWeight),
    placeRequests: (map, total) => balancer.balancedRequests(map, total),
  };
}

/**
 * Policies that also place requests; skipped on traces without request work.
 */
export const requestPolicies: ReadonlySet<string> = new Set([
  "placement-only",
  "joint",
]);

export const policies: Readonly<Partial<Record<string, CreatePolicy>>> = {
  static: createStatic,
  repack: createRepack,
  incremental: createIncremental,
  "placement-only": createPlacementOnly,
  joint: createJoint,
};
