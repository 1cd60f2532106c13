import * as assert from "uvu/assert";
import type { EventNumber } from "../../src/internal.js";
import {
  NO_STATEMENT,
  type RunnerStatement,
} from "../../src/membership/runner-statement.js";
import {
  RunnerStatements,
  UNREGISTERED_RETENTION_MS,
} from "../../src/membership/runner-statements.js";
import type { BackendServer } from "../../src/membership/types.js";
import { VirtualTime } from "../../fuzz/virtual-time.js";
import { describe, it } from "../support/describe.js";

const SERVER: BackendServer = {
  id: "r0",
  service: "model",
  address: "10.0.0.0:80",
  dataCentre: "here",
  slots: 4,
  isLeaving: false,
  coldLeftMs: 0,
  heartbeat: 1,
  startedAtMs: 1000,
};
const LATER: BackendServer = { ...SERVER, startedAtMs: 2000 };
const LEAVING: RunnerStatement = { ...NO_STATEMENT, isLeaving: true };

class Fixture {
  readonly time = VirtualTime.create(0);
  readonly events: EventNumber[] = [];
  readonly series = new Map<string, number>();
  isRegistered = true;
  changes = 0;
  readonly statements = RunnerStatements.create({
    now: () => this.time.nowMs,
    after: (delayMs, action) => {
      this.time.schedule(delayMs, action);
    },
    emit: (number) => {
      this.events.push(number);
    },
    measurements: {
      count: () => undefined,
      observe: () => undefined,
      set: (_key, value, labels = {}) => {
        const name = `${labels.runner} ${labels.cause}`;
        if (value === undefined) this.series.delete(name);
        else this.series.set(name, value);
      },
    },
    isRegistered: () => this.isRegistered,
    onChanged: () => {
      this.changes += 1;
    },
  });

  rest(restMs: number, server = SERVER): void {
    this.statements.onAnswer(server, { ...NO_STATEMENT, restMs }, "request");
  }

  leave(server = SERVER): void {
    this.statements.onAnswer(server, LEAVING, "probe");
  }

  isResting(server = SERVER): boolean {
    return this.statements.restUntilMs(server) !== undefined;
  }

  advance(ms: number): void {
    this.time.advance(ms);
  }
}

describe("statements of runners", () => {
  describe("about rest", () => {
    it("hold for the longest time that was asked for", () => {
      // Guards against a short rest that ends a long one.
      const fixture = new Fixture();
      fixture.rest(3000);
      fixture.rest(500);
      fixture.statements.onAnswer(SERVER, NO_STATEMENT, "request");
      fixture.advance(2999);
      assert.ok(fixture.isResting());
      fixture.advance(1);
      assert.not(fixture.isResting());
      assert.equal(fixture.events, [262, 265]);
      assert.is(fixture.series.size, 0);
      assert.is(fixture.changes, 2);
    });

    it("hold on when they are renewed", () => {
      const fixture = new Fixture();
      fixture.rest(1000);
      fixture.advance(900);
      fixture.rest(1000);
      fixture.advance(900);
      assert.ok(fixture.isResting());
      assert.equal([...fixture.series.keys()], ["r0 rest"]);
      fixture.advance(100);
      assert.equal(fixture.events, [262, 265]);
    });

    it("of months don't end at once", () => {
      // Guards against a delay that is too long for a timer and fires at once.
      const fixture = new Fixture();
      fixture.rest(2 ** 40);
      fixture.advance(10 * UNREGISTERED_RETENTION_MS);
      assert.ok(fixture.isResting());
      assert.equal(fixture.events, [262]);
    });

    it("say nothing with a time of zero", () => {
      const fixture = new Fixture();
      fixture.rest(0);
      assert.not(fixture.isResting());
      assert.equal(fixture.events, []);
    });

    it("that can't be read are logged once for each value", () => {
      // Guards against a log line for every refusal of an overloaded runner.
      const fixture = new Fixture();
      for (const unreadableRest of ["soon", "soon", "later"]) {
        const statement = { ...NO_STATEMENT, unreadableRest };
        fixture.statements.onAnswer(SERVER, statement, "request");
      }
      assert.equal(fixture.events, [264, 264]);
      assert.not(fixture.isResting());
    });
  });

  describe("end with the incarnation", () => {
    it("when a later one is registered", () => {
      const fixture = new Fixture();
      fixture.rest(60_000);
      fixture.leave();
      assert.ok(fixture.statements.isLeaving(SERVER));
      assert.not(fixture.statements.isLeaving(LATER));
      assert.not(fixture.isResting(LATER));
      fixture.statements.onReplaced(SERVER, LATER);
      assert.not(fixture.statements.isLeaving(SERVER));
      assert.equal(fixture.events, [262, 263, 265]);
      assert.is(fixture.series.size, 0);
    });

    it("and an answer of an earlier one doesn't hold for the later one", () => {
      // Guards against a late answer that takes a new incarnation out of use.
      const fixture = new Fixture();
      fixture.rest(1000, LATER);
      fixture.leave(SERVER);
      assert.not(fixture.statements.isLeaving(LATER));
      assert.ok(fixture.isResting(LATER));
    });

    it("when another runner has taken the address", () => {
      const fixture = new Fixture();
      fixture.leave();
      fixture.statements.onReplaced(SERVER, { ...SERVER, id: "r1" });
      assert.not(fixture.statements.isLeaving(SERVER));
    });
  });

  describe("about leaving", () => {
    it("hold for as long as the register shows the runner", () => {
      const fixture = new Fixture();
      fixture.leave();
      fixture.advance(10 * UNREGISTERED_RETENTION_MS);
      assert.ok(fixture.statements.isLeaving(SERVER));
    });

    it("outlast a registration that comes back, and are forgotten at last", () => {
      // Guards against a record that an outage removes and brings back.
      const fixture = new Fixture();
      fixture.leave();
      fixture.isRegistered = false;
      fixture.advance(UNREGISTERED_RETENTION_MS / 2);
      fixture.isRegistered = true;
      fixture.advance(UNREGISTERED_RETENTION_MS);
      assert.ok(fixture.statements.isLeaving(SERVER));
      fixture.isRegistered = false;
      fixture.advance(2 * UNREGISTERED_RETENTION_MS);
      assert.not(fixture.statements.isLeaving(SERVER));
      assert.is(fixture.series.size, 0);
    });
  });
});
