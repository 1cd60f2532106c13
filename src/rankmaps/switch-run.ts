/**
 * The switches of one holder of the planner's seat: which orders come next, and
 * under which versions. Keeps what can't be read back from the ranks: which
 * versions are used, and what this planner had held.
 */
import { HoldSteps } from "./hold-steps.js";
import { endHeldStep } from "./held-step.js";
import {
  EACH_GENERATION,
  MAPS_EACH_GENERATION,
  versionOf,
} from "./map-versions.js";
import {
  pendingSwitch,
  type AddressedOrder,
  type PendingSwitch,
} from "./switch-orders.js";
import type { ArmedMap, MapGoal, MapSets, RankState } from "./types.js";

type Orders = readonly AddressedOrder[];

export class SwitchRun {
  private versions = 0;
  /** The hold that was ordered last, and the version that it is for. */
  private held: ArmedMap | undefined;

  private constructor(
    readonly generation: number,
    private readonly steps: HoldSteps,
  ) {}

  static create(generation: number, steps = HoldSteps.create()): SwitchRun {
    return new SwitchRun(generation, steps);
  }

  /** Higher than that of any earlier holder of the seat. */
  get fencing(): number {
    return this.generation * EACH_GENERATION;
  }

  /** Whether the generation has no version left for a further map. */
  get isExhausted(): boolean {
    return this.versions >= MAPS_EACH_GENERATION;
  }

  /** A version that no rank has had. */
  takeVersion(): number {
    this.versions += 1;
    return versionOf(this.generation, this.versions);
  }

  /** Whether a new map may be begun. */
  isIdle(states: readonly RankState[]): boolean {
    return pendingSwitch(states).kind === "none";
  }

  /**
   * `spareMap`: any map that the ranks can prepare, best the one in use; while
   * it is undefined no switch is called off.
   */
  nextOrders(
    states: readonly RankState[],
    goal: MapGoal | undefined,
    spareMap: MapSets | undefined,
  ): Orders {
    this.steps.look(states[0].epoch, lastBegun(states));
    const pending = pendingSwitch(states);
    switch (pending.kind) {
      case "none":
        return goal === undefined ? [] : this.towards(goal, states);
      case "coming":
        return [];
      case "orders":
        return pending.orders;
      case "unarmed":
      case "call-off":
        return (
          this.armOwn(states, pending) ?? this.end(states, pending, spareMap)
        );
    }
  }

  private towards(
    { version, sets, holder }: MapGoal,
    states: readonly RankState[],
  ): Orders {
    const prepare = { kind: "prepare", version, sets } as const;
    const missing = states.filter(
      ({ preparedVersion }) => preparedVersion !== version,
    );
    if (missing.length > 0) {
      return missing.map(({ rank }) => ({ rank, order: prepare }));
    }
    const step = this.steps.next(lastBegun(states));
    if (step === undefined) return [];
    this.steps.take(step);
    this.held = { version, step };
    return [{ rank: holder, order: { kind: "hold", step } }];
  }

  /**
   * The hold is this planner's own, and all ranks still have what it is for:
   * the holder may be armed. Nobody else does that, so that whoever makes an
   * unarmed holder void can let its step go.
   */
  private armOwn(
    states: readonly RankState[],
    pending: PendingSwitch,
  ): Orders | undefined {
    if (pending.kind !== "unarmed" || this.held === undefined) return undefined;
    const [{ rank, heldStep }, ...more] = pending.holders;
    const { version, step } = this.held;
    const isReady = states.every(
      (state) => state.preparedVersion === version && state.armed === undefined,
    );
    if (more.length > 0 || heldStep !== step || !isReady) return undefined;
    return [{ rank, order: { kind: "arm", version, step } }];
  }

  private end(
    states: readonly RankState[],
    pending: Extract<PendingSwitch, { kind: "unarmed" | "call-off" }>,
    spareMap: MapSets | undefined,
  ): Orders {
    if (spareMap === undefined) return [];
    const holders =
      pending.kind === "unarmed" ? pending.holders : [pending.holder];
    const highestVersion = this.takeVersion();
    return holders.flatMap((holder) =>
      endHeldStep({ reached: states, holder, spareMap, highestVersion }),
    );
  }
}

function lastBegun(states: readonly RankState[]): number {
  return Math.max(...states.map(({ step }) => step));
}

/**
 * The runs of one process, a single one for each generation of the seat. A
 * planner begins anew within a generation whenever a rank was out of reach. A
 * version that it used again could name two maps, one at the ranks that took
 * it before and one at the others, and a step would begin with both: ranks
 * don't compare maps. Where it wasn't taken again, one map after the other would
 * be refused. Numbers that only rise within a generation rule out both.
 */
export class SwitchRuns {
  private latest: SwitchRun | undefined;
  private readonly steps = HoldSteps.create();

  static create(): SwitchRuns {
    return new SwitchRuns();
  }

  of(generation: number): SwitchRun {
    if (this.latest?.generation !== generation) {
      this.latest = SwitchRun.create(generation, this.steps);
    }
    return this.latest;
  }
}
