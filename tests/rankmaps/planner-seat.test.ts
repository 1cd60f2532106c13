import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import {
  PlannerSeat,
  renewalPauseMs,
  type SeatAssignment,
  type SeatService,
} from "../../src/rankmaps/planner-seat.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";

/** Answers with what the test has set; an outage is an undefined assignment. */
class Seats {
  assignment: SeatAssignment | undefined = {
    generation: 1,
    era: 0,
    isHolder: false,
  };
  /** Of the store, as any of its answers has told. */
  era = 0;
  /** Generations that were named to the store. */
  readonly named: number[] = [];
  joins = 0;
  /** Whether this process stands for the seat. */
  stands = true;
  left = false;

  readonly service: SeatService = {
    join: (_group, _member, generation) => {
      this.joins += 1;
      this.named.push(generation);
      const { assignment } = this;
      return assignment === undefined
        ? Promise.reject(failure(1901))
        : Promise.resolve(assignment);
    },
    leave: () => {
      this.left = true;
      return Promise.resolve();
    },
  };

  /** Until the seat has asked again. */
  async nextJoin(): Promise<void> {
    const before = this.joins;
    while (this.joins < before + 2) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }
}

async function withSeat(
  body: (seats: Seats, seat: PlannerSeat) => Promise<void>,
  seats = new Seats(),
): Promise<Seats> {
  const seat = PlannerSeat.create({
    service: seats.service,
    emit: ignoreEvents,
    era: () => seats.era,
    member: "agent.1",
    leastLeaseMs: 100,
  });
  const stop = new AbortController();
  const running = seat.run("group", stop.signal, () => seats.stands);
  try {
    await body(seats, seat);
  } finally {
    stop.abort();
    await running;
  }
  return seats;
}

describe("renewal of a seat", () => {
  it("comes soon while assignments change, so that the seat finds its holder", () => {
    // All agents start together. The seat moves with most joins, and nobody
    // plans until its last holder has asked again.
    assert.ok(renewalPauseMs(1600, 0) <= 150);
    assert.ok(renewalPauseMs(1600, 500) <= 150);
  });

  it("comes a few times a lease once they have settled", () => {
    const pauseMs = renewalPauseMs(1600, 5000);
    assert.ok(pauseMs > 400 && pauseMs < 1600 / 2, String(pauseMs));
    assert.ok(renewalPauseMs(90, 0) < 90 / 2);
  });
});

describe("planner's seat", () => {
  it("is held while the store says so, and left at the end", async () => {
    const seats = await withSeat(async (given, seat) => {
      assert.is(seat.generation, undefined);
      given.assignment = { generation: 4, era: 0, isHolder: true };
      await given.nextJoin();
      assert.is(seat.generation, 4);
      given.assignment = { generation: 5, era: 0, isHolder: false };
      await given.nextJoin();
      assert.is(seat.generation, undefined);
    });
    assert.ok(seats.left);
  });

  it("is kept through an outage of the store", async () => {
    // Demand goes on turning while the store is away. Nobody else can be given
    // the seat then, and a group without a planner makes every stream late.
    await withSeat(async (given, seat) => {
      given.assignment = { generation: 4, era: 0, isHolder: true };
      await given.nextJoin();
      given.assignment = undefined;
      await given.nextJoin();
      assert.is(seat.generation, 4);
    });
  });

  it("is given up when an order was fenced, until a newer assignment", async () => {
    // The store gave the seat to another agent, whose orders have reached a
    // rank before this process heard of it.
    await withSeat(async (given, seat) => {
      given.assignment = { generation: 4, era: 0, isHolder: true };
      await given.nextJoin();
      seat.giveUp();
      await given.nextJoin();
      assert.is(seat.generation, undefined);
      given.assignment = { generation: 7, era: 0, isHolder: true };
      await given.nextJoin();
      assert.is(seat.generation, 7);
    });
  });

  describe("of a store that comes back from an older copy", () => {
    it("isn't held until the store gives it anew", async () => {
      // The copy's holder may be another agent: with both planning, two maps
      // would be switched to at once.
      await withSeat(async (given, seat) => {
        given.assignment = { generation: 9, era: 0, isHolder: true };
        await given.nextJoin();
        given.assignment = undefined;
        given.era = 1;
        assert.is(seat.generation, undefined);
        await given.nextJoin();
        assert.is(seat.generation, undefined);
        given.assignment = { generation: 3, era: 1, isHolder: true };
        await given.nextJoin();
        assert.ok((seat.generation ?? 0) > 9);
      });
    });

    it("has numbers above those of all eras before", async () => {
      // Generations are given out again. Under an equal number ranks would take
      // two maps for one, and under a lower one refuse every order.
      await withSeat(async (given, seat) => {
        given.assignment = { generation: 999_999, era: 4, isHolder: true };
        given.era = 4;
        await given.nextJoin();
        const before = seat.generation ?? 0;
        given.assignment = { generation: 0, era: 5, isHolder: true };
        given.era = 5;
        await given.nextJoin();
        assert.ok((seat.generation ?? 0) > before);
      });
    });

    it("names no generation of an earlier era to it", async () => {
      // A member that names a later generation confirms what was given away
      // under all before, which this one hasn't seen.
      const { named } = await withSeat(async (given) => {
        given.assignment = { generation: 9, era: 0, isHolder: false };
        await given.nextJoin();
        given.assignment = undefined;
        given.era = 1;
        given.named.length = 0;
        await given.nextJoin();
      });
      assert.ok(named.every((generation) => generation === 0));
    });
  });

  describe("that others stand for", () => {
    it("isn't asked for", async () => {
      const seats = new Seats();
      seats.stands = false;
      await withSeat(() => pause(200), seats);
      assert.is(seats.joins, 0);
    });

    it("is left, and asked for again once they are gone", async () => {
      // Whoever stays in the group without asking is given the seat, and the
      // group has no planner until its lease has run out.
      await withSeat(async (given, seat) => {
        await given.nextJoin();
        given.stands = false;
        await pause(200);
        assert.ok(given.left);
        const { joins } = given;
        await pause(200);
        assert.is(given.joins, joins);
        given.stands = true;
        given.assignment = { generation: 2, era: 0, isHolder: true };
        await given.nextJoin();
        assert.is(seat.generation, 2);
      });
    });

    it("is kept by its holder", async () => {
      await withSeat(async (given, seat) => {
        given.assignment = { generation: 2, era: 0, isHolder: true };
        await given.nextJoin();
        given.stands = false;
        await pause(200);
        assert.is(seat.generation, 2);
        assert.not.ok(given.left);
      });
    });
  });

  it("isn't held under a number whose versions couldn't be told apart", async () => {
    // Past the whole numbers that a double holds, two maps get one version.
    await withSeat(async (given, seat) => {
      given.assignment = { generation: 1, era: 9008, isHolder: true };
      given.era = 9008;
      await given.nextJoin();
      assert.is(seat.generation, undefined);
      given.assignment = { generation: 1_000_000, era: 1, isHolder: true };
      given.era = 1;
      await given.nextJoin();
      assert.is(seat.generation, undefined);
    });
  });
});
