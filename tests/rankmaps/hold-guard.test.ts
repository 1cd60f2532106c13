import * as assert from "uvu/assert";
import { createRandom, failure, ignoreEvents } from "../../src/internal.js";
import { pause } from "../../src/daemon/background-task.js";
import { HoldGuard } from "../../src/rankmaps/hold-guard.js";
import { RelayedMaps } from "../../src/rankmaps/relayed-maps.js";
import type {
  GroupRank,
  OrderFence,
  RankOrder,
  RankPort,
} from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";

const RANKS = 4;
const PLANNER = 0;
const HOLDER = 1;
/** The planner's VM stands still. */
const isPlanner = (rank: number): boolean => rank === PLANNER;
const FENCE = { epoch: 1, fencing: 9 };
const VERSION = 6;
/** No VM may keep its group waiting for longer, ms. */
const LONGEST_HOLD_MS = 500;

/** What the holder's agent has relayed. */
function relayed(): RelayedMaps {
  const maps = RelayedMaps.create();
  maps.note({ version: VERSION, sets: [] });
  return maps;
}

function armAt(
  engines: HeldEngines,
  ranks: readonly number[],
  fence: OrderFence = FENCE,
): void {
  for (const rank of ranks) {
    engines.send(rank, { kind: "arm", version: VERSION, step: 3 }, fence);
  }
  engines.deliver();
}

const never = new Promise<never>(() => undefined);

type BeforeOrder = (order: RankOrder) => void;

/** `isStill`: whether the rank's VM stands still, and doesn't answer. */
function rankOf(
  engines: HeldEngines,
  rank: number,
  isStill: () => boolean,
  beforeOrder: BeforeOrder = () => undefined,
): GroupRank & RankPort {
  const observe = () => engines.states()[rank];
  return {
    address: `10.0.0.${rank}:1`,
    observe: () => {
      if (isStill()) return never;
      const state = observe();
      // As a rank and as a port: one gives the state with what belongs to it.
      const observation = { state, counts: [], countedMs: 0, experts: [] };
      return Promise.resolve({ ...state, ...observation });
    },
    counts: () => Promise.reject(failure(1607)),
    experts: () => Promise.reject(failure(1607)),
    order: (order, fence) => {
      if (isStill()) return never;
      beforeOrder(order);
      engines.send(rank, order, fence);
      const isAccepted = engines.deliver().some((one) => one.rank === rank);
      const { startedAtMs } = engines.states()[rank];
      return Promise.resolve(
        isAccepted
          ? { kind: "accepted", isDone: true, startedAtMs }
          : { kind: "fenced", startedAtMs },
      );
    },
    hold: () => Promise.reject(failure(1607)),
    isOver: () => false,
  };
}

function prepareAll(
  engines: HeldEngines,
  version: number,
  fence: OrderFence,
): void {
  for (let rank = 0; rank < RANKS; rank += 1) {
    engines.send(rank, { kind: "prepare", version, sets: [] }, fence);
  }
  engines.deliver();
}

function prepared(): HeldEngines {
  const engines = HeldEngines.create(RANKS, createRandom(1));
  engines.calm();
  prepareAll(engines, VERSION, FENCE);
  engines.send(HOLDER, { kind: "hold", step: 3 }, FENCE);
  engines.deliver();
  return engines;
}

async function watchUntil(
  engines: HeldEngines,
  isDone: () => boolean,
  isFrozen: (rank: number) => boolean = () => false,
  beforeOrder?: BeforeOrder,
): Promise<void> {
  const stop = new AbortController();
  const ranks = Array.from({ length: RANKS }, (_, index) =>
    rankOf(engines, index, () => isFrozen(index), beforeOrder),
  );
  const guard = HoldGuard.create({
    port: ranks[HOLDER],
    emit: ignoreEvents,
    group: () => Promise.resolve(ranks),
    signal: stop.signal,
    maps: relayed(),
  });
  const { startedAtMs } = engines.states()[HOLDER];
  guard.watch({ step: 3, fence: FENCE, startedAtMs });
  while (!isDone()) {
    engines.pass();
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  stop.abort();
}

describe("guard of a held step", () => {
  it("lets a step go whose planner died before any arm", async () => {
    // The planner is killed between hold and arms. Without the guard the group
    // stands still until another planner has the seat, and callers give up.
    const engines = prepared();
    await watchUntil(engines, () => engines.history.passes > 6);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 0));
  });

  it("lets a step go whose planner's VM stands still, before any arm", async () => {
    // The VM freezes right after the hold, its own rank unarmed and out of
    // reach. Without the guard the group stands still until the VM wakes; with
    // it, passes go on with the old map, and what the planner arms first when
    // it wakes refuses that.
    const engines = prepared();
    await watchUntil(engines, () => engines.history.passes > 6, isPlanner);
    const order = { kind: "arm", version: VERSION, step: 99 } as const;
    engines.send(HOLDER, order, FENCE);
    assert.equal(engines.deliver(), []);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 0));
  });

  it("gives one up between two arms", async () => {
    const engines = prepared();
    armAt(engines, [HOLDER, 2]);
    await watchUntil(engines, () => engines.history.passes > 6, isPlanner);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 0));
  });

  it("keeps the step when the planner's own rank may be armed", async () => {
    // All others are armed, so the planner may have come to its own rank. Let
    // go without it, a pass would run with two maps.
    const engines = prepared();
    armAt(engines, [1, 2, 3]);
    const until = performance.now() + 600;
    await watchUntil(engines, () => performance.now() > until, isPlanner);
    assert.is(engines.states()[HOLDER].heldStep, 3);
    assert.is(engines.history.mixedPasses, 0);
  });

  it("keeps the step when another rank out of reach may be armed", async () => {
    // The VM of a rank stands still that was told to arm together with others.
    const engines = prepared();
    armAt(engines, [HOLDER, 2]);
    const until = performance.now() + 600;
    const isThird = (rank: number): boolean => rank === 3;
    await watchUntil(engines, () => performance.now() > until, isThird);
    assert.is(engines.states()[HOLDER].heldStep, 3);
    assert.is(engines.history.mixedPasses, 0);
  });

  it("finishes the switch when the planner's VM wakes with all others armed", async () => {
    // The step couldn't be given up: the planner's rank may be armed. Now it
    // can be reached and isn't.
    const engines = prepared();
    armAt(engines, [1, 2, 3]);
    const wakesAt = performance.now() + 500;
    await watchUntil(
      engines,
      () => engines.history.passes > 6,
      (rank) => isPlanner(rank) && performance.now() < wakesAt,
    );
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(
      engines.states().every(({ mapVersion }) => mapVersion === VERSION),
    );
  });

  it("finishes one whose planner died between two arms", async () => {
    const engines = prepared();
    armAt(engines, [HOLDER]);
    await watchUntil(engines, () => engines.history.passes > 6);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(
      engines.states().every(({ mapVersion }) => mapVersion === VERSION),
    );
  });

  describe("while one VM stands still", () => {
    // Streams: no event for as long as the step is held; callers leave after
    // two seconds. The VM stands still at any moment of the switch, and what
    // its rank was told and whether it took it can't be seen.
    const moments = [
      { name: "before any arm", armed: [], frozen: [0, 2, 3] },
      { name: "after the holder's", armed: [HOLDER], frozen: [0] },
      { name: "between the others'", armed: [HOLDER, 2], frozen: [0] },
    ];
    for (const { name, armed, frozen } of moments) {
      for (const still of frozen) {
        it(`goes on soon, ${name} arm and without rank ${still}`, async () => {
          const engines = prepared();
          armAt(engines, armed);
          const startedAtMs = performance.now();
          const isFrozen = (rank: number): boolean => rank === still;
          await watchUntil(engines, () => engines.history.passes > 3, isFrozen);
          assert.ok(performance.now() - startedAtMs < LONGEST_HOLD_MS);
          assert.is(engines.history.mixedPasses, 0);
        });
      }
    }
  });

  describe("when a rank starts again", () => {
    it("makes its new life void as well", async () => {
      // The planner's VM stands still, and the rank that it hadn't come to is
      // void. It starts again and has forgotten that: what the planner had sent
      // it is carried out there now. Let go by then, the step would begin with
      // this rank alone on the new map.
      const engines = prepared();
      let isBorn = false;
      const beforeOrder: BeforeOrder = ({ kind }) => {
        const { preparedVersion = 0 } = engines.stateOf(2);
        if (kind === "disarm" && !isBorn && preparedVersion > VERSION) {
          isBorn = true;
          engines.startAgain(2);
        }
        if (kind !== "release") return;
        const order = { kind: "prepare", version: VERSION, sets: [] } as const;
        engines.send(2, order, FENCE);
        armAt(engines, [2]);
      };
      armAt(engines, [HOLDER, 3]);
      const isDone = (): boolean => engines.history.passes > 6;
      await watchUntil(engines, isDone, isPlanner, beforeOrder);
      assert.ok(isBorn);
      assert.is(engines.history.mixedPasses, 0);
    });

    it("watches the next hold while it still looks for that of before", async () => {
      // The holder starts again while its hold is watched and can't be seen for
      // a moment. In the new epoch it is told to hold a step of the same
      // number, and that planner dies. By the old number every order would be
      // refused, and the group would stand still.
      const engines = prepared();
      let isHolderAway = false;
      const stop = new AbortController();
      const ranks = Array.from({ length: RANKS }, (_, index) =>
        rankOf(engines, index, () => false),
      );
      const holder = ranks[HOLDER];
      const port: RankPort = {
        ...holder,
        observe: () =>
          isHolderAway ? Promise.reject(failure(1607)) : holder.observe(),
      };
      const guard = HoldGuard.create({
        port,
        emit: ignoreEvents,
        group: () =>
          isHolderAway ? Promise.reject(failure(1607)) : Promise.resolve(ranks),
        signal: stop.signal,
        maps: relayed(),
      });
      const watch = (fence: OrderFence): void => {
        const { startedAtMs } = engines.stateOf(HOLDER);
        guard.watch({ step: 3, fence, startedAtMs });
      };
      watch(FENCE);
      isHolderAway = true;
      await sleep(250);
      engines.restart(HOLDER);
      engines.form();
      const next = { epoch: engines.epoch, fencing: 10 };
      prepareAll(engines, VERSION + 2, next);
      watch(next);
      engines.send(HOLDER, { kind: "hold", step: 3 }, next);
      engines.deliver();
      isHolderAway = false;
      const until = performance.now() + 1000;
      while (performance.now() < until && engines.history.passes < 6) {
        engines.pass();
        await sleep(10);
      }
      stop.abort();
      assert.ok(engines.history.passes >= 6);
      assert.is(engines.history.mixedPasses, 0);
    });

    it("lets a hold of its own rank's earlier life be", async () => {
      // The step of the new life has the same number but isn't this hold's.
      const engines = prepared();
      const stop = new AbortController();
      const ranks = Array.from({ length: RANKS }, (_, index) =>
        rankOf(engines, index, () => false),
      );
      const guard = HoldGuard.create({
        port: ranks[HOLDER],
        emit: ignoreEvents,
        group: () => Promise.resolve(ranks),
        signal: stop.signal,
        maps: relayed(),
      });
      const { startedAtMs } = engines.stateOf(HOLDER);
      guard.watch({ step: 3, fence: FENCE, startedAtMs });
      engines.startAgain(HOLDER);
      engines.send(
        HOLDER,
        { kind: "prepare", version: VERSION, sets: [] },
        FENCE,
      );
      engines.send(HOLDER, { kind: "hold", step: 3 }, FENCE);
      engines.deliver();
      await sleep(400);
      stop.abort();
      assert.ok(engines.states().every(({ armed }) => armed === undefined));
    });
  });
});

async function sleep(durationMs: number): Promise<void> {
  await pause(durationMs, new AbortController().signal);
}
