import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  applyMoves,
  checkMap,
  checkShape,
  createEvenMap,
  movesBetween,
  Planner,
  refineMap,
  repack,
  skewLowerBound,
  rankTimes,
  skewOf,
  stepTime,
  DEFAULT_PLANNER_LIMITS,
  type ExpertMap,
  type GroupShape,
  type PlanInput,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const RUNS = { seed: 5, numRuns: 200 };

const shapes = fc
  .record({
    ranks: fc.integer({ min: 1, max: 9 }),
    layers: fc.integer({ min: 1, max: 3 }),
    experts: fc.integer({ min: 1, max: 24 }),
    slotsPerRank: fc.integer({ min: 1, max: 6 }),
  })
  .filter((shape) => checkShape(shape).isRight());

const inputs: fc.Arbitrary<PlanInput> = shapes.chain((shape) => {
  const size = shape.layers * shape.experts;
  const perRank = { minLength: shape.ranks, maxLength: shape.ranks };
  const tokens = fc.float64Array({
    min: 0,
    max: 1e6,
    noNaN: true,
    minLength: size,
    maxLength: size,
  });
  return fc.record({
    map: fc.constant(createEvenMap(shape)),
    load: fc.record({
      tokens,
      variance: tokens.map((values) => values.map(() => 1)),
    }),
    ranks: fc.record({
      speeds: fc.array(fc.double({ min: 0.2, max: 2, noNaN: true }), perRank),
      requestTokens: fc.array(fc.integer({ min: 0, max: 100_000 }), perRank),
    }),
    costs: fc.record({
      bytesPerExpert: fc.constant(1e6),
      storeBytesPerSecond: fc.integer({ min: 100_000, max: 1e9 }),
      switchSeconds: fc.constant(0.05),
      stagingExpertsPerRank: fc.integer({ min: 1, max: 8 }),
    }),
    skewWeight: fc.double({ min: 0, max: 1, noNaN: true }),
    confidence: fc.double({ min: 0, max: 1, noNaN: true }),
  });
});

function isValidMap(map: ExpertMap): boolean {
  return checkMap(map).isRight();
}

function skewUnder(map: ExpertMap, { load, ranks }: PlanInput): number {
  const times = rankTimes(map, load.tokens, ranks);
  return skewOf(stepTime(map.shape, times, ranks.speeds));
}

function mapOf(shape: GroupShape, slots: readonly number[]): ExpertMap {
  return { version: 1, shape, slots };
}

describe("expert maps", () => {
  const shape = { ranks: 2, layers: 1, experts: 3, slotsPerRank: 2 };

  it("are refused when an expert has no slot", () => {
    assert.ok(checkMap(mapOf(shape, [0, 1, 0, 1])).isLeft());
  });

  it("are refused when a rank holds an expert twice", () => {
    assert.ok(checkMap(mapOf(shape, [0, 0, 1, 2])).isLeft());
  });

  it("are refused when an expert doesn't exist or a slot is missing", () => {
    assert.ok(checkMap(mapOf(shape, [0, 1, 2, 3])).isLeft());
    assert.ok(checkMap(mapOf(shape, [0, 1, 2])).isLeft());
  });

  it("may leave slots empty", () => {
    assert.ok(isValidMap(mapOf(shape, [0, 1, 2, -1])));
  });

  it("need a shape with room for every expert", () => {
    assert.ok(checkShape({ ...shape, slotsPerRank: 1 }).isLeft());
    assert.ok(checkShape({ ...shape, slotsPerRank: 4 }).isLeft());
  });

  it("are valid initially for every shape", () => {
    fc.assert(
      fc.property(shapes, (shape) => isValidMap(createEvenMap(shape))),
      RUNS,
    );
  });
});

describe("plans", () => {
  it("lead to a valid map by their moves", () => {
    const planned = fc.property(inputs, (input) => {
      const plan = Planner.create(input.map.shape).plan(input);
      if (plan.kind === "stay") return;
      const { map, moves } = plan;
      assert.ok(isValidMap(map));
      assert.is(map.version, input.map.version + 1);
      assert.equal(
        [...Array.from(map.slots)],
        [...Array.from(applyMoves(input.map, moves).slots)],
      );
    });
    fc.assert(planned, RUNS);
  });

  it("respect transfer time and staging memory, and predict their effect", () => {
    const planned = fc.property(inputs, (input) => {
      const plan = Planner.create(input.map.shape).plan(input);
      if (plan.kind === "stay") return;
      const { predicted, moves, map } = plan;
      assert.ok(
        predicted.transferSeconds <=
          DEFAULT_PLANNER_LIMITS.transferSeconds + 1e-9,
      );
      for (let rank = 0; rank < map.shape.ranks; rank++) {
        const staged = moves.filter((move) => move.rank === rank).length;
        assert.ok(staged <= input.costs.stagingExpertsPerRank);
      }
      assert.ok(predicted.skewAfter < predicted.skewBefore);
      assert.ok(Math.abs(skewUnder(map, input) - predicted.skewAfter) < 1e-6);
    });
    fc.assert(planned, RUNS);
  });

  it("make no moves when only cost counts", () => {
    const planned = fc.property(inputs, (input) => {
      const plan = Planner.create(input.map.shape).plan({
        ...input,
        skewWeight: 0,
      });
      assert.is(plan.kind, "stay");
    });
    fc.assert(planned, RUNS);
  });
});

describe("full repack and refinement", () => {
  it("keep maps valid, and refinement never increases skew", () => {
    const packed = fc.property(inputs, (input) => {
      const { map, load, ranks } = input;
      const repacked = repack(map, load.tokens, ranks);
      const refined = refineMap(repacked, load.tokens, ranks, 20);
      assert.ok(isValidMap(repacked));
      assert.ok(isValidMap(refined));
      assert.ok(skewUnder(refined, input) <= skewUnder(repacked, input) + 1e-9);
    });
    fc.assert(packed, RUNS);
  });

  it("never beat the lower bound on skew", () => {
    const bounded = fc.property(inputs, (input) => {
      const { map, load, ranks } = input;
      const repacked = repack(map, load.tokens, ranks);
      const refined = refineMap(repacked, load.tokens, ranks, 20);
      const bound = skewLowerBound(map.shape, load.tokens, ranks);
      assert.ok(bound >= 1 - 1e-9);
      assert.ok(skewUnder(refined, input) >= bound - 1e-6);
    });
    fc.assert(bounded, RUNS);
  });

  it("fetch no expert that a rank already holds", () => {
    const shape = { ranks: 2, layers: 1, experts: 4, slotsPerRank: 2 };
    const map = mapOf(shape, [0, 1, 2, 3]);
    const tokens = Float64Array.of(9, 1, 8, 2);
    const ranks = { speeds: [1, 1], requestTokens: [0, 0] };
    assert.equal(movesBetween(map, repack(map, tokens, ranks)), []);
  });
});
