import * as assert from "uvu/assert";
import { createRandom, failure, ignoreEvents } from "../../src/internal.js";
import type { GroupRank } from "../../src/rankmaps/group-planner.js";
import { HoldGuard } from "../../src/rankmaps/hold-guard.js";
import type { RankPort } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";

const RANKS = 4;
const PLANNER = 0;
const HOLDER = 1;
const always = (): boolean => true;
const FENCE = { epoch: 1, fencing: 9 };

const never = new Promise<never>(() => undefined);

/** `isStill`: whether the rank's VM stands still, and doesn't answer. */
function rankOf(
  engines: HeldEngines,
  rank: number,
  isStill: () => boolean,
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
  };
}

function prepared(): HeldEngines {
  const engines = HeldEngines.create(RANKS, createRandom(1));
  engines.calm();
  for (let rank = 0; rank < RANKS; rank += 1) {
    engines.send(rank, { kind: "prepare", version: 5, sets: [] }, FENCE);
  }
  engines.send(HOLDER, { kind: "hold", step: 3 }, FENCE);
  engines.deliver();
  return engines;
}

async function watchUntil(
  engines: HeldEngines,
  isDone: () => boolean,
  isPlannerFrozen: () => boolean = () => false,
): Promise<void> {
  const stop = new AbortController();
  const ranks = Array.from({ length: RANKS }, (_, index) => {
    const isFrozen = (): boolean => index === PLANNER && isPlannerFrozen();
    return rankOf(engines, index, isFrozen);
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
});
