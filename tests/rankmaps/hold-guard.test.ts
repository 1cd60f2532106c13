import * as assert from "uvu/assert";
import { createRandom, ignoreEvents } from "../../src/internal.js";
import type { GroupRank } from "../../src/rankmaps/group-planner.js";
import { HoldGuard } from "../../src/rankmaps/hold-guard.js";
import type { RankPort } from "../../src/rankmaps/types.js";
import { describe, it } from "../support/describe.js";
import { HeldEngines } from "./held-engines.js";

const RANKS = 4;
const HOLDER = 1;
const FENCE = { epoch: 1, fencing: 9 };

function rankOf(engines: HeldEngines, rank: number): GroupRank & RankPort {
  const observe = () => engines.states()[rank];
  return {
    address: `10.0.0.${rank}:1`,
    observe: () => {
      const state = observe();
      // As a rank and as a port: one gives the state with what belongs to it.
      const observation = { state, counts: [], countedMs: 0, experts: [] };
      return Promise.resolve({ ...state, ...observation });
    },
    counts: () => Promise.resolve({ epoch: 1, counts: [] }),
    experts: () => Promise.resolve([]),
    order: (order, fence) => {
      engines.send(rank, order, fence);
      engines.deliver();
      return Promise.resolve({ kind: "accepted", isDone: true });
    },
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
): Promise<void> {
  const stop = new AbortController();
  const ranks = Array.from({ length: RANKS }, (_, rank) =>
    rankOf(engines, rank),
  );
  const guard = HoldGuard.create({
    port: ranks[HOLDER],
    emit: ignoreEvents,
    group: () => Promise.resolve(ranks),
    signal: stop.signal,
  });
  guard.watch(3, FENCE);
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

  it("finishes one whose planner died between two arms", async () => {
    const engines = prepared();
    engines.send(0, { kind: "arm", version: 5, step: 3 }, FENCE);
    engines.deliver();
    await watchUntil(engines, () => engines.history.passes > 6);
    assert.is(engines.history.mixedPasses, 0);
    assert.ok(engines.states().every(({ mapVersion }) => mapVersion === 5));
  });
});
