import * as assert from "uvu/assert";
import { createRandom, type Random } from "../../src/internal.js";
import { orderOfLives } from "../../src/membership/life.js";
import { LatestLife } from "../../src/rankmaps/latest-life.js";
import {
  afterOrders,
  armingWave,
  pendingSwitch,
  wholeGroup,
  type AddressedOrder,
} from "../../src/rankmaps/switch-orders.js";
import { SwitchRun } from "../../src/rankmaps/switch-run.js";
import type {
  MapGoal,
  OrderFence,
  RankState,
} from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines, type History } from "./held-engines.js";

const RANKS = 4;
const HISTORIES = 20_000;

/** How likely ranks are to fail, each for one turn of a history. */
interface Faults {
  /** All ranks at once. */
  readonly crash: number;
  readonly restart: number;
  /** A rank starts again, and is seen to before its group breaks. */
  readonly unnoticedRestart: number;
  /** The same, while the answer to an order is on the way; for one order. */
  readonly restartWhileAnswering: number;
}

const USUAL_FAULTS: Faults = {
  crash: 0.01,
  restart: 0.01,
  unnoticedRestart: 0.05,
  restartWhileAnswering: 0.01,
};
/** Ranks start again most of the time that a step is held. */
const MANY_RESTARTS: Faults = {
  crash: 0.04,
  restart: 0.01,
  unnoticedRestart: 0.3,
  restartWhileAnswering: 0.1,
};

/** Engines, and the lives that have been seen of them, by rank. */
class World {
  readonly lives = Array.from({ length: RANKS }, () =>
    LatestLife.create(() => 0),
  );
  readonly engines: HeldEngines;

  constructor(
    readonly random: Random,
    private readonly faults: Faults,
  ) {
    this.engines = HeldEngines.create(RANKS, random);
  }

  /** A turn of the engines, with what goes wrong in it. */
  turn(): void {
    const { engines, random, faults } = this;
    if (random() < 0.5) engines.pass();
    engines.deliver();
    if (random() < faults.crash) engines.crash();
    if (random() < faults.restart) engines.restart(this.anyRank());
    if (random() < 0.2) engines.form();
    if (random() < faults.unnoticedRestart) {
      this.restartUnnoticed(this.anyRank());
    }
  }

  /** A rank may start again while an answer is on the way. */
  waitForAnswer(): void {
    const isRestart = this.random() < this.faults.restartWhileAnswering;
    if (isRestart) this.restartUnnoticed(this.anyRank());
  }

  private anyRank(): number {
    return Math.floor(this.random() * RANKS);
  }

  /** Undefined when an earlier life's report is among them. */
  look(): readonly RankState[] | undefined {
    const states = this.engines.states();
    const isLate = states
      .map(({ rank, startedAtMs }) => this.lives[rank].see(startedAtMs))
      .some((order) => order === "earlier");
    return isLate ? undefined : wholeGroup(states);
  }

  isOutdated(states: readonly RankState[]): boolean {
    return states.some(({ rank, startedAtMs }) =>
      this.lives[rank].isOver(startedAtMs),
    );
  }

  /** A rank is seen to have started again, in the epoch of before. */
  private restartUnnoticed(rank: number): void {
    if (!this.engines.restartUnnoticed(rank)) return;
    this.lives[rank].see(this.engines.stateOf(rank).startedAtMs);
  }
}

/** A planner that may be replaced at any moment, knowing only what it sees. */
class Planner {
  private goal: MapGoal | undefined;
  private readonly run: SwitchRun;

  private constructor(
    private readonly world: World,
    generation: number,
  ) {
    this.run = SwitchRun.create(generation);
  }

  static create(world: World, generation: number): Planner {
    return new Planner(world, generation);
  }

  /** Orders on what it sees at this moment. */
  step(): void {
    const { world, run } = this;
    const states = world.look();
    if (states === undefined) return;
    const isDone = states.every(
      ({ mapVersion }) => mapVersion === this.goal?.version,
    );
    if (isDone) this.goal = undefined;
    if (run.isIdle(states)) {
      this.goal ??= { version: run.takeVersion(), sets: [], holder: 0 };
    }
    this.carryOut(states);
    // Refused as not higher than what the rank has had: a new version.
    const isStuck = states.some(
      ({ preparedVersion = 0 }) => preparedVersion > (this.goal?.version ?? 0),
    );
    if (isStuck) this.goal = undefined;
  }

  /** Goes on at once as long as every rank confirms. */
  private carryOut(seen: readonly RankState[]): void {
    const { world, run } = this;
    let states = seen;
    for (;;) {
      if (world.isOutdated(states)) return;
      const orders = run.nextOrders(states, this.goal);
      if (orders.length === 0) return;
      const confirmed = orders.filter((order) => this.send(states, order));
      if (confirmed.length < orders.length) return;
      const next = afterOrders(states, orders);
      if (next === undefined) return;
      states = next;
    }
  }

  /** Whether the life that was seen confirms it. */
  private send(
    states: readonly RankState[],
    { rank, order }: AddressedOrder,
  ): boolean {
    const { engines, lives } = this.world;
    const { fencing } = this.run;
    const seen = states.find((state) => state.rank === rank);
    engines.send(rank, order, { epoch: states[0].epoch, fencing });
    const answers = engines.deliver();
    this.world.waitForAnswer();
    const admitted = answers.filter(
      (one) => lives[one.rank].see(one.startedAtMs) !== "earlier",
    );
    for (const one of admitted) {
      this.run.onAccepted(one.rank, one.fence, one.startedAtMs);
    }
    return admitted.some(
      (one) =>
        one.rank === rank &&
        orderOfLives(seen?.startedAtMs, one.startedAtMs) === "same",
    );
  }
}

/**
 * Plays a history in which every order may be lost, late or both, and ranks may
 * start again at any moment.
 */
function play(
  seed: number,
  faults: Faults = USUAL_FAULTS,
): { world: World; history: History } {
  const random: Random = createRandom(seed);
  const world = new World(random, faults);
  let generation = 1;
  let planners = [Planner.create(world, generation)];
  for (let turn = 0; turn < 120; turn += 1) {
    const planner = planners[Math.floor(random() * planners.length)];
    planner.step();
    world.turn();
    if (random() < 0.02) {
      // Another planner takes the seat; the old one doesn't know for a while.
      generation += 1;
      planners = [...planners.slice(-1), Planner.create(world, generation)];
    }
    if (random() < 0.2) planners = planners.slice(-1);
  }
  return { world, history: world.engines.history };
}

describe("orders of a map switch", () => {
  it("never lets a pass run with two maps", () => {
    // Orders get lost, and some of those are carried out much later; a second
    // planner takes over while orders of the first are still under way; ranks
    // crash, or start again and what they said before arrives late. A pass with
    // two maps would give wrong answers to everyone in it.
    let switches = 0;
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const { history } = play(seed);
      assert.is(history.mixedPasses, 0, `seed ${seed}`);
      switches += history.switches;
    }
    assert.ok(switches > HISTORIES, `${switches} switches`);
  });

  it("never lets a pass run with two maps while ranks start again and again", () => {
    // A rank that starts again has forgotten what it prepared, was armed for
    // and held, and which fencing number it took; late answers and reports of
    // before say otherwise.
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const { history } = play(seed, MANY_RESTARTS);
      assert.is(history.mixedPasses, 0, `seed ${seed}`);
    }
  });

  it("lets the group go on after whatever was lost", () => {
    // The last planner is left alone with engines that answer in time: it has
    // to finish what the others began, or the group would stand still.
    for (let seed = 1; seed <= 2000; seed += 1) {
      const { world } = play(seed);
      const { engines } = world;
      engines.calm();
      engines.form();
      const planner = Planner.create(world, 1_000_000);
      const before = engines.history.passes;
      for (let turn = 0; turn < 40; turn += 1) {
        planner.step();
        engines.deliver();
        engines.pass();
      }
      assert.ok(engines.history.passes >= before + 30, `seed ${seed}`);
      assert.is(engines.history.mixedPasses, 0, `seed ${seed}`);
    }
  });

  it("calls a switch off before it releases a step that can't be used", () => {
    // A hold is carried out seconds late, when nothing is prepared. Orders to
    // arm for that step may be late as well, so it is released only once every
    // rank has taken a newer fencing number.
    const engines = HeldEngines.create(RANKS, createRandom(1));
    engines.calm();
    engines.send(2, { kind: "hold", step: 5 }, { epoch: 1, fencing: 1 });
    engines.deliver();
    assert.is(pendingSwitch(engines.states()).kind, "call-off");
    const run = SwitchRun.create(1);
    const fence = (): OrderFence => ({ epoch: 1, fencing: run.fencing });
    const holder = run.nextOrders(engines.states(), undefined);
    assert.equal(
      holder.map(({ rank, order }) => [rank, order.kind]),
      [[2, "disarm"]],
    );
    run.onAccepted(2, fence(), engines.stateOf(2).startedAtMs);
    const first = run.nextOrders(engines.states(), undefined);
    assert.equal(
      first.map(({ rank, order }) => [rank, order.kind]),
      [
        [0, "disarm"],
        [1, "disarm"],
        [3, "disarm"],
      ],
    );
    for (const { rank, startedAtMs } of engines.states()) {
      run.onAccepted(rank, fence(), startedAtMs);
    }
    const second = run.nextOrders(engines.states(), undefined);
    assert.equal(second, [{ rank: 2, order: { kind: "release", step: 5 } }]);
  });

  it("calls a switch off under a higher number than the step's guard has", () => {
    // The guard of a held step arms or releases under the number after the
    // hold's. A call-off under that number wouldn't make its late orders void.
    const engines = HeldEngines.create(RANKS, createRandom(1));
    engines.calm();
    const run = SwitchRun.create(1);
    const held = run.fencing;
    engines.send(2, { kind: "hold", step: 5 }, { epoch: 1, fencing: held });
    engines.deliver();
    run.nextOrders(engines.states(), undefined);
    assert.ok(run.fencing > held + 1);
  });

  it("arms the holder first and the planner's own rank last", () => {
    // Another planner gave a step up, and its release is carried out late. If
    // others were armed by then and the holder not, the step would begin with
    // two maps; an armed holder has a newer fencing number and refuses it.
    const engines = HeldEngines.create(RANKS, createRandom(1));
    engines.calm();
    for (let rank = 0; rank < RANKS; rank += 1) {
      const order = { kind: "prepare", version: 5, sets: [] } as const;
      engines.send(rank, order, { epoch: 1, fencing: 1 });
    }
    engines.send(1, { kind: "hold", step: 3 }, { epoch: 1, fencing: 1 });
    engines.deliver();
    const waves: (readonly number[])[] = [];
    for (let wave = 0; wave < 3; wave += 1) {
      const pending = pendingSwitch(engines.states());
      if (pending.kind !== "orders") break;
      const orders = armingWave(pending.orders, { planner: 0, holder: 1 });
      waves.push(orders.map(({ rank }) => rank));
      for (const { rank, order } of orders) {
        engines.send(rank, order, { epoch: 1, fencing: 2 });
      }
      engines.deliver();
      engines.send(1, { kind: "release", step: 3 }, { epoch: 1, fencing: 1 });
      engines.deliver();
      for (let pass = 0; pass < 4; pass += 1) engines.pass();
    }
    assert.equal(waves, [[1], [2, 3], [0]]);
    assert.is(engines.history.mixedPasses, 0);
  });

  it("takes a rank that has changed already for one that is armed", () => {
    // Ranks are asked one after the other, and the step begins in between: the
    // first still shows that it is armed, the second that it has changed.
    const engines = HeldEngines.create(2, createRandom(1));
    engines.calm();
    const [first, second] = engines.states();
    const armed = { version: 7, step: 3 };
    const seen = [
      { ...first, armed },
      { ...second, mapVersion: 7 },
    ];
    assert.is(pendingSwitch(seen).kind, "coming");
  });

  it("asks nothing of a group that is not whole", () => {
    const engines = HeldEngines.create(RANKS, createRandom(1));
    assert.is(wholeGroup(engines.states().slice(1)), undefined);
    assert.is(wholeGroup([]), undefined);
  });

  describe("when a rank starts again while a switch is called off", () => {
    it("has its new life take a number as well before the step is let go", () => {
      // It has forgotten the fencing number that its earlier life took: what was
      // ordered before could still be carried out there, and the step would
      // begin with this rank alone on the new map.
      const engines = HeldEngines.create(RANKS, createRandom(1));
      engines.calm();
      engines.send(2, { kind: "hold", step: 5 }, { epoch: 1, fencing: 1 });
      engines.deliver();
      const run = SwitchRun.create(1);
      run.nextOrders(engines.states(), undefined);
      const fence = { epoch: 1, fencing: run.fencing };
      for (const { rank, startedAtMs } of engines.states()) {
        run.onAccepted(rank, fence, startedAtMs);
      }
      const before = engines.stateOf(3).startedAtMs;
      engines.startAgain(3);
      const next = run.nextOrders(engines.states(), undefined);
      assert.equal(
        next.map(({ rank, order }) => [rank, order.kind]),
        [[3, "disarm"]],
      );
      // What the earlier life took, and is told of late, proves nothing.
      run.onAccepted(3, fence, before);
      assert.is(run.nextOrders(engines.states(), undefined).at(0)?.rank, 3);
      run.onAccepted(3, fence, engines.stateOf(3).startedAtMs);
      run.onAccepted(3, fence, before);
      const last = run.nextOrders(engines.states(), undefined);
      assert.equal(last, [{ rank: 2, order: { kind: "release", step: 5 } }]);
    });
  });
});
