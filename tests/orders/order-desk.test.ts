import * as assert from "uvu/assert";
import {
  ignoreEvents,
  OrderDesk,
  type Order,
  type OrderEffect,
  type OrderReply,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const EFFECT_MS = 1000;
const START_MS = 0;

const order = (fencing: number, value: string): Order => ({
  fencing,
  runner: "r",
  kind: "load-model",
  value,
});

function createDesk(checksFencing: boolean): OrderDesk {
  const engine = { checksFencing, effectMs: EFFECT_MS };
  return OrderDesk.create(engine, ignoreEvents, START_MS);
}

function replies(effects: readonly OrderEffect[]): readonly OrderReply[] {
  return effects.flatMap((item) => (item.kind === "reply" ? item.reply : []));
}

function errors(effects: readonly OrderEffect[]): readonly number[] {
  return replies(effects).flatMap((reply) =>
    reply.kind === "failed" ? reply.error.number : [],
  );
}

const shows = (value: string) => ({
  accepted: true,
  state: { engine: "e", values: { "load-model": value } },
});

/** Gives an order and lets the engine show it. */
function confirm(desk: OrderDesk, given: Order, now: number): OrderReply[] {
  desk.take(given, now);
  desk.answered(shows(given.value), now);
  return [...replies(desk.answered(shows(given.value), now))];
}

describe("orders of an agent", () => {
  describe("whose engine ignores fencing numbers", () => {
    // A holder is paused before it sends an order; its lease lapses, and the
    // next holder's order is confirmed. The old order then arrives. The engine
    // would obey it and the new model would be gone.
    it("refuses a paused holder's order after a newer one", () => {
      const desk = createDesk(false);
      desk.learn([order(9, "new")]);
      const [reply] = confirm(desk, order(9, "new"), EFFECT_MS);
      assert.is(reply.kind, "confirmed");
      assert.equal(errors(desk.take(order(5, "old"), EFFECT_MS + 1)), [1701]);
    });

    // The agent starts again and has forgotten the newest order. A paused
    // holder's order arrives before the agent has read the log.
    it("gives nothing before it has read the log", () => {
      const desk = createDesk(false);
      assert.equal(errors(desk.take(order(5, "old"), EFFECT_MS)), [1702]);
      desk.learn([order(9, "new")]);
      assert.equal(errors(desk.take(order(5, "old"), EFFECT_MS)), [1701]);
    });

    // The agent before this one sent an order and ended. It may reach the
    // engine only after this agent's own first order was confirmed.
    it("waits out the orders of the agent before it", () => {
      const desk = createDesk(false);
      desk.learn([order(9, "new")]);
      const early = desk.take(order(9, "new"), EFFECT_MS - 1);
      assert.equal(errors(early), [1702]);
      const effects = desk.take(order(9, "new"), EFFECT_MS);
      assert.is(effects.at(0)?.kind, "engine");
    });

    // The answer to an order is lost. The order may still be on its way, so a
    // newer one must not be confirmed before it can't come any more.
    it("gives no other order while a lost one can take effect", () => {
      const desk = createDesk(false);
      desk.learn([order(9, "new")]);
      desk.take(order(9, "lost"), EFFECT_MS);
      desk.failed(EFFECT_MS + 100);
      const soon = desk.take(order(10, "new"), EFFECT_MS + 101);
      assert.equal(errors(soon), [1702]);
      const waited = 2 * EFFECT_MS + 100;
      const [call] = desk.tick(waited);
      assert.equal(call, { kind: "engine", call: { kind: "read" } });
      assert.equal(errors(desk.answered(shows("before"), waited)), [1703]);
      const next = desk.take(order(10, "new"), waited);
      assert.is(next.at(0)?.kind, "engine");
    });
  });

  describe("whose engine checks fencing numbers", () => {
    it("gives orders at once after a start", () => {
      const effects = createDesk(true).take(order(3, "new"), START_MS);
      assert.is(effects.at(0)?.kind, "engine");
    });

    it("gives an order again at once when its answer is lost", () => {
      const desk = createDesk(true);
      desk.take(order(3, "new"), START_MS);
      desk.failed(100);
      const again = desk.tick(400);
      const call = { kind: "give", order: order(3, "new") };
      assert.equal(again, [{ kind: "engine", call }]);
    });

    it("passes the engine's refusal of an old number on", () => {
      const desk = createDesk(true);
      desk.take(order(3, "old"), START_MS);
      const refusal = { ...shows("new"), accepted: false };
      assert.equal(errors(desk.answered(refusal, 10)), [1701]);
    });
  });
});
