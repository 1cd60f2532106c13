import * as assert from "uvu/assert";
import { createRandom, type Random } from "../../src/internal.js";
import {
  afterOrders,
  armingWave,
  pendingSwitch,
  wholeGroup,
} from "../../src/rankmaps/switch-orders.js";
import { SwitchRun } from "../../src/rankmaps/switch-run.js";
import type { MapGoal, RankState } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines, type History } from "./held-engines.js";

const RANKS = 4;
const HISTORIES = 20_000;

/** A planner that may be replaced at any moment, knowing only what it sees. */
class Planner {
  private goal: MapGoal | undefined;
  private readonly run: SwitchRun;

  private constructor(
    private readonly engines: HeldEngines,
    generation: number,
  ) {
    this.run = SwitchRun.create(generation);
  }

  static create(engines: HeldEngines, generation: number): Planner {
    return new Planner(engines, generation);
  }

  /** Orders on what it sees at this moment. */
  step(): void {
    const { engines, run } = this;
    const states = wholeGroup(engines.states());
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
    const { engines, run } = this;
    let states = seen;
    for (;;) {
      const orders = run.nextOrders(states, this.goal);
      if (orders.length === 0) return;
      const { fencing } = run;
      const confirmed = orders.filter(({ rank, order }) => {
        engines.send(rank, order, { epoch: engines.epoch, fencing });
        const answers = engines.deliver();
        for (const answer of answers) run.onAccepted(answer.rank, answer.fence);
        return answers.some((answer) => answer.rank === rank);
      });
      if (confirmed.length < orders.length) return;
      const next = afterOrders(states, orders);
      if (next === undefined) return;
      states = next;
    }
  }
}

/** Plays a history in which every order may be lost, late or both. */
function play(seed: number): { engines: HeldEngines; history: History } {
  const random: Random = createRandom(seed);
  const engines = HeldEngines.create(RANKS, random);
  let generation = 1;
  let planners = [Planner.create(engines, generation)];
  for (let turn = 0; turn < 120; turn += 1) {
    const planner = planners[Math.floor(random() * planners.length)];
    planner.step();
    if (random() < 0.5) engines.pass();
    engines.deliver();
    if (random() < 0.01) engines.crash();
    if (random() < 0.02) {
      // Another planner takes the seat; the old one doesn't know for a while.
      generation += 1;
      planners = [...planners.slice(-1), Planner.create(engines, generation)];
    }
    if (random() < 0.2) planners = planners.slice(-1);
  }
  return { engines, history: engines.history };
}

describe("orders of a map switch", () => {
  it("never lets a pass run with two maps", () => {
    // Orders get lost, and some of those are carried out much later; a second
    // planner takes over while orders of the first are still under way; ranks
    // crash. A pass with two maps would give wrong answers to everyone in it.
    let switches = 0;
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const { history } = play(seed);
      assert.is(history.mixedPasses, 0, `seed ${seed}`);
      switches += history.switches;
    }
    assert.ok(switches > HISTORIES, `${switches} switches`);
  });

  it("lets the group go on after whatever was lost", () => {
    // The last planner is left alone with engines that answer in time: it has
    // to finish what the others began, or the group would stand still.
    for (let seed = 1; seed <= 2000; seed += 1) {
      const { engines } = play(seed);
      engines.calm();
      const planner = Planner.create(engines, 1_000_000);
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
    const first = run.nextOrders(engines.states(), undefined);
    assert.equal(
      first.map(({ order }) => order.kind),
      ["disarm", "disarm", "disarm", "disarm"],
    );
    for (const rank of [0, 1, 2, 3]) {
      run.onAccepted(rank, { epoch: 1, fencing: run.fencing });
    }
    const second = run.nextOrders(engines.states(), undefined);
    assert.equal(second, [{ rank: 2, order: { kind: "release", step: 5 } }]);
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
});
