import * as assert from "uvu/assert";
import {
  ignoreEvents,
  OrderExecutor,
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

function createExecutor(checksFencing: boolean): OrderExecutor {
  const engine = { checksFencing, effectMs: EFFECT_MS };
  return OrderExecutor.create(engine, ignoreEvents, START_MS);
}

function replies(effects: readonly OrderEffect[]): readonly OrderReply[] {
  return effects.flatMap((item) => (item.kind === "reply" ? item.reply : []));
}

function errors(effects: readonly OrderEffect[]): readonly number[] {
  return replies(effects).flatMap((reply) =>
    reply.kind === "failed" ? reply.error.number : [],
  );
}

const answerWith = (value: string) => ({
  accepted: true,
  state: { engine: "e", values: { "load-model": value } },
});

/** Sends an order and answers with a state that shows it. */
function confirm(
  executor: OrderExecutor,
  given: Order,
  now: number,
): OrderReply[] {
  executor.submit(given, now);
  executor.onAnswer(answerWith(given.value), now);
  return [...replies(executor.onAnswer(answerWith(given.value), now))];
}

describe("orders of an agent", () => {
  describe("whose engine ignores fencing tokens", () => {
    // A holder is paused before it sends an order; its lease expires, and the
    // next holder's order is confirmed. When the old order arrives, the engine
    // would accept it and replace the new model.
    it("refuses a paused holder's order after a newer one", () => {
      const executor = createExecutor(false);
      executor.onOrdersRead([order(9, "new")]);
      const [reply] = confirm(executor, order(9, "new"), EFFECT_MS);
      assert.is(reply.kind, "confirmed");
      assert.equal(
        errors(executor.submit(order(5, "old"), EFFECT_MS + 1)),
        [1701],
      );
    });

    // The agent has restarted and lost the newest order. A paused holder's
    // order arrives before the agent has read the log.
    it("sends no order before the log was read", () => {
      const executor = createExecutor(false);
      assert.equal(errors(executor.submit(order(5, "old"), EFFECT_MS)), [1702]);
      executor.onOrdersRead([order(9, "new")]);
      assert.equal(errors(executor.submit(order(5, "old"), EFFECT_MS)), [1701]);
    });

    // The previous agent sent an order and ended. The order may reach the
    // engine after the first order of this agent was confirmed.
    it("waits until orders of the previous agent can't take effect", () => {
      const executor = createExecutor(false);
      executor.onOrdersRead([order(9, "new")]);
      const early = executor.submit(order(9, "new"), EFFECT_MS - 1);
      assert.equal(errors(early), [1702]);
      const effects = executor.submit(order(9, "new"), EFFECT_MS);
      assert.is(effects.at(0)?.kind, "engine");
    });

    // The response to an order is lost, so the order may still take effect. A
    // newer one must not be confirmed before that time is over.
    it("sends no other order while one without a response can take effect", () => {
      const executor = createExecutor(false);
      executor.onOrdersRead([order(9, "new")]);
      executor.submit(order(9, "lost"), EFFECT_MS);
      executor.onCallFailed(EFFECT_MS + 100);
      const soon = executor.submit(order(10, "new"), EFFECT_MS + 101);
      assert.equal(errors(soon), [1702]);
      const afterWaitMs = 2 * EFFECT_MS + 100;
      const [call] = executor.tick(afterWaitMs);
      assert.equal(call, { kind: "engine", call: { kind: "read" } });
      assert.equal(
        errors(executor.onAnswer(answerWith("before"), afterWaitMs)),
        [1703],
      );
      const next = executor.submit(order(10, "new"), afterWaitMs);
      assert.is(next.at(0)?.kind, "engine");
    });
  });

  describe("whose engine checks fencing tokens", () => {
    it("sends orders at once after a start", () => {
      const effects = createExecutor(true).submit(order(3, "new"), START_MS);
      assert.is(effects.at(0)?.kind, "engine");
    });

    it("sends an order again at once when its response is lost", () => {
      const executor = createExecutor(true);
      executor.submit(order(3, "new"), START_MS);
      executor.onCallFailed(100);
      const again = executor.tick(400);
      const call = { kind: "give", order: order(3, "new") };
      assert.equal(again, [{ kind: "engine", call }]);
    });

    it("reports the engine's refusal of an old token", () => {
      const executor = createExecutor(true);
      executor.submit(order(3, "old"), START_MS);
      const refusal = { ...answerWith("new"), accepted: false };
      assert.equal(errors(executor.onAnswer(refusal, 10)), [1701]);
    });
  });
});
