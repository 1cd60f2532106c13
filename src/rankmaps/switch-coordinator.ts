/**
 * Coordinates the map switches of one holder of the planner lease: decides the
 * next orders and their versions. Keeps what can't be read back from the ranks:
 * which versions are used, and which hold this planner ordered.
 */
import { HoldStepAllocator } from "./hold-step-allocator.js";
import { resolveHeldStep } from "./held-step-resolution.js";
import {
  VERSIONS_PER_GENERATION,
  MAPS_PER_GENERATION,
  versionOf,
} from "./map-versions.js";
import {
  pendingSwitch,
  type AddressedOrder,
  type PendingSwitch,
} from "./switch-orders.js";
import type { ArmedMap, MapGoal, MapSets, RankState } from "./types.js";

type Orders = readonly AddressedOrder[];

export class SwitchCoordinator {
  private allocatedVersions = 0;
  /** The last ordered hold and the version that it is for. */
  private lastHold: ArmedMap | undefined;

  private constructor(
    readonly generation: number,
    private readonly holdSteps: HoldStepAllocator,
  ) {}

  static create(
    generation: number,
    steps = HoldStepAllocator.create(),
  ): SwitchCoordinator {
    return new SwitchCoordinator(generation, steps);
  }

  /** Higher than that of any earlier holder of the lease. */
  get fencing(): number {
    return this.generation * VERSIONS_PER_GENERATION;
  }

  /** Whether the generation has no version left for another map. */
  get isExhausted(): boolean {
    return this.allocatedVersions >= MAPS_PER_GENERATION;
  }

  /** A version that no rank has had. */
  allocateVersion(): number {
    this.allocatedVersions += 1;
    return versionOf(this.generation, this.allocatedVersions);
  }

  /** Whether a new switch may be started. */
  isIdle(states: readonly RankState[]): boolean {
    return pendingSwitch(states).kind === "none";
  }

  /**
   * `placeholderMap`: any map that the ranks can prepare, preferably the active
   * one; while it is undefined no switch is cancelled. `leadSteps`: steps that
   * the group makes until a hold can be released.
   */
  nextOrders(
    states: readonly RankState[],
    goal: MapGoal | undefined,
    placeholderMap: MapSets | undefined,
    leadSteps?: number,
  ): Orders {
    const [{ epoch, size }] = states;
    this.holdSteps.onObserved(epoch, latestStep(states), size);
    const pending = pendingSwitch(states);
    switch (pending.kind) {
      case "none":
        return goal === undefined
          ? []
          : this.prepareOrHold(goal, states, leadSteps);
      case "coming":
        return [];
      case "orders":
        return pending.orders;
      case "unarmed":
      case "call-off":
        return (
          this.armHolder(states, pending) ??
          this.resolveHolders(states, pending, placeholderMap)
        );
    }
  }

  private prepareOrHold(
    { version, sets, holder }: MapGoal,
    states: readonly RankState[],
    leadSteps: number | undefined,
  ): Orders {
    const prepare = { kind: "prepare", version, sets } as const;
    const missing = states.filter(
      ({ preparedVersion }) => preparedVersion !== version,
    );
    if (missing.length > 0) {
      return missing.map(({ rank }) => ({ rank, order: prepare }));
    }
    const step = this.holdSteps.next(latestStep(states), leadSteps);
    if (step === undefined) return [];
    this.holdSteps.markUsed(step);
    this.lastHold = { version, step };
    return [{ rank: holder, order: { kind: "hold", step } }];
  }

  /**
   * The holder may be armed if the hold is this planner's own and all ranks
   * still have the version prepared. Nobody else arms a holder, so whoever
   * cancels the switch at an unarmed holder can release its step.
   */
  private armHolder(
    states: readonly RankState[],
    pending: PendingSwitch,
  ): Orders | undefined {
    if (pending.kind !== "unarmed" || this.lastHold === undefined)
      return undefined;
    const [{ rank, heldStep }, ...more] = pending.holders;
    const { version, step } = this.lastHold;
    const isReady = states.every(
      (state) => state.preparedVersion === version && state.armed === undefined,
    );
    if (more.length > 0 || heldStep !== step || !isReady) return undefined;
    return [{ rank, order: { kind: "arm", version, step } }];
  }

  private resolveHolders(
    states: readonly RankState[],
    pending: Extract<PendingSwitch, { kind: "unarmed" | "call-off" }>,
    placeholderMap: MapSets | undefined,
  ): Orders {
    if (placeholderMap === undefined) return [];
    const holders =
      pending.kind === "unarmed" ? pending.holders : [pending.holder];
    const highestVersion = this.allocateVersion();
    return holders.flatMap((holder) =>
      resolveHeldStep({
        reached: states,
        holder,
        placeholderMap,
        highestVersion,
      }),
    );
  }
}

export function latestStep(states: readonly RankState[]): number {
  return Math.max(...states.map(({ step }) => step));
}

/**
 * The coordinators of one process, one for each generation of the lease. A
 * planner starts again within a generation whenever a rank was unreachable. If
 * it reused a version, the version could name two maps, one at the ranks that
 * accepted it before and one at the others, and a step would begin with both,
 * because ranks don't compare maps. Where no rank accepted it again, one map
 * after the other would be refused. Versions that only increase within a
 * generation prevent both.
 */
export class SwitchCoordinators {
  private latest: SwitchCoordinator | undefined;
  private readonly holdSteps = HoldStepAllocator.create();

  static create(): SwitchCoordinators {
    return new SwitchCoordinators();
  }

  forGeneration(generation: number): SwitchCoordinator {
    if (this.latest?.generation !== generation) {
      this.latest = SwitchCoordinator.create(generation, this.holdSteps);
    }
    return this.latest;
  }
}
