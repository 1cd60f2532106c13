import * as assert from "uvu/assert";
import { createRandom, failure, ignoreEvents } from "../../src/internal.js";
import { pause } from "../../src/daemon/background-task.js";
import type { GroupRank } from "../../src/rankmaps/group-planner.js";
import { HoldGuard } from "../../src/rankmaps/hold-guard.js";
import type {
  OrderFence,
  RankOrder,
  RankPort,
} from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";

const RANKS = 4;
const PLANNER = 0;
const HOLDER = 1;
const always = (): boolean => true;
const FENCE = { epoch: 1, fencing: 9 };

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
  prepareAll(engines, 5, FENCE);
  engines.send(HOLDER, { kind: "hold", step: 3 }, FENCE);
  engines.deliver();
  return engines;
}

async function watchUntil(
  engines: HeldEngines,
  isDone: () => boolean,
  isPlannerFrozen: () => boolean = () => false,
  beforeOrder?: BeforeOrder,
): Promise<void> {
  const stop = new AbortController();
  const ranks = Array.from({ length: RANKS }, (_, index) => {
    const isFrozen = (): boolean => index === PLANNER && isPlannerFrozen();
    return rankOf(engines, index, isFrozen, beforeOrder);
  });
  const guard = HoldGuard.create({
    port: ranks[HOLDER],
    emit: ignoreEvents,
    group: () => Promise.resolve(ranks),
    signal: stop.signal,
    isFencingChecked: true,
  });
  const { startedAtMs } = engines.states()[HOLDER];
  guard.watch({ step: 3, fence: FENCE, planner: PLANNER, startedAtMs });
  while (!isDone()) {
    engines.pass();
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  stop.abort();
}

describe("guard of a held step", () => {
  it("finishes a switch whose planner died after the hold", async () => {
    // The planner is killed between hold and arms. Without the guard the group
    // stands still until another planner has the seat, and callers give up.
    const engines = prepared();
    await watchUntil(engines, () => engines.history.passes > 6);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 5));
  });

  it("gives a step up whose planner's VM stands still, before any arm", async () => {
    // The VM freezes right after the hold, its own rank unarmed and out of
    // reach. Without the guard the group stands still until the VM wakes; with
    // it, passes go on with the old map, and what the planner sends when it
    // wakes is refused.
    const engines = prepared();
    await watchUntil(engines, () => engines.history.passes > 6, always);
    for (let rank = 0; rank < RANKS; rank += 1) {
      if (rank === PLANNER) continue;
      engines.send(rank, { kind: "arm", version: 5, step: 9 }, FENCE);
    }
    assert.equal(engines.deliver(), []);
    for (let pass = 0; pass < 10; pass += 1) engines.pass();
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 0));
  });

  it("gives one up between two arms", async () => {
    const engines = prepared();
    engines.send(2, { kind: "arm", version: 5, step: 3 }, FENCE);
    engines.deliver();
    await watchUntil(engines, () => engines.history.passes > 6, always);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 0));
  });

  it("keeps the step when the planner's own rank may be armed", async () => {
    // All others are armed, so the planner may have come to its own rank. Let
    // go without it, a pass would run with two maps.
    const engines = prepared();
    for (const rank of [1, 2, 3]) {
      engines.send(rank, { kind: "arm", version: 5, step: 3 }, FENCE);
    }
    engines.deliver();
    const until = performance.now() + 600;
    await watchUntil(engines, () => performance.now() > until, always);
    assert.is(engines.states()[HOLDER].heldStep, 3);
    assert.is(engines.history.mixedPasses, 0);
  });

  it("finishes the switch when the planner's VM wakes with all others armed", async () => {
    // The guard has raised the fencing number to give the step up, and couldn't:
    // the planner's rank may be armed. Now it can be reached and isn't. Ranks
    // refuse the planner's own number by now.
    const engines = prepared();
    for (const rank of [1, 2, 3]) {
      engines.send(rank, { kind: "arm", version: 5, step: 3 }, FENCE);
    }
    engines.deliver();
    const wakesAt = performance.now() + 500;
    await watchUntil(
      engines,
      () => engines.history.passes > 6,
      () => performance.now() < wakesAt,
    );
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 5));
  });

  it("finishes one whose planner died between two arms", async () => {
    const engines = prepared();
    engines.send(0, { kind: "arm", version: 5, step: 3 }, FENCE);
    engines.deliver();
    await watchUntil(engines, () => engines.history.passes > 6);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 5));
  });

  describe("when a rank starts again", () => {
    it("asks its new life to refuse the planner's orders as well", async () => {
      // The planner's VM stands still, and all other ranks have taken the higher
      // number. One of them starts again and has forgotten it: what the planner
      // had sent it is carried out there now. Let go by then, the step would
      // begin with this rank alone on the new map.
      const engines = prepared();
      let isBorn = false;
      const beforeOrder: BeforeOrder = ({ kind }) => {
        if (kind === "disarm" && !isBorn && isFenced(engines, 2)) {
          isBorn = true;
          engines.startAgain(2);
        }
        if (kind !== "release") return;
        engines.send(2, { kind: "prepare", version: 5, sets: [] }, FENCE);
        engines.send(2, { kind: "arm", version: 5, step: 3 }, FENCE);
        engines.deliver();
      };
      engines.send(3, { kind: "arm", version: 5, step: 3 }, FENCE);
      engines.deliver();
      const isDone = (): boolean => engines.history.passes > 6;
      await watchUntil(engines, isDone, always, beforeOrder);
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
        isFencingChecked: true,
      });
      const watch = (fence: OrderFence): void => {
        const { startedAtMs } = engines.stateOf(HOLDER);
        guard.watch({ step: 3, fence, planner: PLANNER, startedAtMs });
      };
      watch(FENCE);
      isHolderAway = true;
      await sleep(250);
      engines.restart(HOLDER);
      engines.form();
      const next = { epoch: engines.epoch, fencing: 10 };
      prepareAll(engines, 6, next);
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
        isFencingChecked: true,
      });
      const { startedAtMs } = engines.stateOf(HOLDER);
      guard.watch({ step: 3, fence: FENCE, planner: PLANNER, startedAtMs });
      engines.startAgain(HOLDER);
      engines.send(HOLDER, { kind: "prepare", version: 5, sets: [] }, FENCE);
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

/** Whether the rank refuses what the planner orders. */
function isFenced(engines: HeldEngines, rank: number): boolean {
  const order = { kind: "disarm", version: 999 } as const;
  engines.send(rank, order, FENCE);
  return !engines.deliver().some((one) => one.rank === rank);
}
