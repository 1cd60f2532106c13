import * as assert from "uvu/assert";
import {
  createRandom,
  failure,
  ignoreEvents,
  type Refusal,
} from "../../src/internal.js";
import type { IsSlow } from "../../src/direct/runner-pool.js";
import { ServiceGate, type Admitted } from "../../src/direct/service-gate.js";
import type { GroupOf } from "../../src/direct/service-groups.js";
import { NO_GROUP } from "../../src/membership/runner-groups.js";
import type { BackendServer } from "../../src/membership/types.js";
import type { Call } from "../../src/direct/types.js";
import { describe, it } from "../support/describe.js";
import { routeOf } from "../routing/support.js";
import { unusedConnections } from "./unused-connections.js";

const SLOTS = 4;
function gateWith(
  runners: number,
  isSlow: IsSlow = () => false,
  groupOf: GroupOf = () => NO_GROUP,
): ServiceGate {
  const gate = ServiceGate.create({
    now: () => performance.now(),
    random: createRandom(5),
    emit: ignoreEvents,
    dataCentre: "here",
    connect: () => unusedConnections,
    isSlow,
    groupOf,
  });
  for (let index = 0; index < runners; index += 1) {
    gate.setServer({
      id: `r${index}`,
      service: "model",
      address: `10.0.0.${index}:80`,
      dataCentre: index === 0 ? "here" : "there",
      slots: SLOTS,
      isLeaving: false,
      heartbeat: 1,
      startedAtMs: undefined,
    });
  }
  return gate;
}

function callOf(id: string, fields: Partial<Call> = {}): Call {
  const arrivedAtMs = performance.now();
  return {
    id,
    method: "POST",
    target: "/",
    headers: [],
    body: Buffer.alloc(0),
    fields: {
      attemptId: id,
      deadlineMs: 2000,
      credential: undefined,
      promptTokens: 100,
      outputTokens: 10,
      lastEventId: 0,
    },
    route: routeOf({ kind: "stream", objectiveMs: 60 }),
    version: 1,
    service: "model",
    account: "account",
    priority: 1,
    arrivedAtMs,
    dueAtMs: arrivedAtMs + 2000,
    ...fields,
  };
}

type Result =
  | { readonly kind: "admitted"; readonly admitted: Admitted }
  | { readonly kind: "refused"; readonly refusal: Refusal };

async function enter(gate: ServiceGate, call: Call): Promise<Result> {
  const entered = await gate.enter(call);
  return entered.caseOf<Result>({
    Left: (refusal) => ({ kind: "refused", refusal }),
    Right: (admitted) => ({ kind: "admitted", admitted }),
  });
}

describe("gate of a service", () => {
  it("gives every caller of a burst a place or a refusal, and loses none", async () => {
    // Ten times what the runners hold arrives at once and every answer takes
    // 20 ms. Nobody may be left without an answer, and a refusal has to say
    // when to come back.
    const gate = gateWith(3);
    let most = 0;
    let running = 0;
    const results = await Promise.all(
      Array.from({ length: 120 }, async (_, index) => {
        const result = await enter(gate, callOf(`c${index}`));
        if (result.kind === "refused") return result;
        running += 1;
        most = Math.max(most, running);
        await new Promise((resolve) => {
          setTimeout(resolve, 20);
        });
        running -= 1;
        gate.release(result.admitted, "served");
        gate.leave(result.admitted, 20);
        return result;
      }),
    );
    const refused = results.filter((result) => result.kind === "refused");
    assert.ok(refused.length > 0 && refused.length < results.length);
    assert.ok(refused.every(({ refusal }) => refusal.retryAfterMs > 0));
    assert.ok(
      refused.every(({ refusal }) => refusal.error.entry.outcome === "not-run"),
    );
    assert.ok(most <= 3 * SLOTS, String(most));
    assert.is(gate.waitingCount, 0);
    await gate.close();
  });

  it("refuses at once when the service has no runner", async () => {
    const gate = gateWith(0);
    const result = await enter(gate, callOf("c"));
    assert.is(result.kind, "refused");
    await gate.close();
  });

  it("sends nothing to a slow runner while others have room", async () => {
    // One of three ranks is slow. Work of its own there would slow all streams
    // of the group, those at the other ranks as well.
    const gate = gateWith(3, (address) => address === "10.0.0.0:80");
    for (let index = 0; index < 4; index += 1) {
      const result = await enter(gate, callOf(`c${index}`));
      assert.is(result.kind, "admitted");
      if (result.kind === "refused") continue;
      assert.is.not(result.admitted.runner.server.id, "r0");
      assert.not.ok(gate.isBetterElsewhere(result.admitted, new Set()));
    }
    await gate.close();
  });

  it("lets callers wait while every runner refuses, and tries with one", async () => {
    // A group has lost a rank and all its runners refuse. Sent on, a caller
    // loses both attempts within milliseconds; most have come back once already
    // and don't come again.
    const gate = gateWith(4);
    const tried: Admitted[] = [];
    for (let index = 0; index < 4; index += 1) {
      const result = await enter(gate, callOf(`c${index}`));
      assert.is(result.kind, "admitted");
      if (result.kind === "refused") continue;
      tried.push(result.admitted);
      gate.release(result.admitted, "full");
      gate.leave(result.admitted, undefined);
    }
    assert.ok(gate.isOut("model"));
    const waiting = [4, 5, 6].map((index) => enter(gate, callOf(`c${index}`)));
    assert.is(gate.waitingCount, 3);
    gate.onAccepted(tried[0]);
    gate.setServer({
      id: "r9",
      service: "model",
      address: "10.0.0.9:80",
      dataCentre: "here",
      slots: SLOTS,
      isLeaving: false,
      heartbeat: 1,
      startedAtMs: undefined,
    });
    const results = await Promise.all(waiting);
    assert.ok(results.every(({ kind }) => kind === "admitted"));
    await gate.close();
  });

  it("goes on with slow runners when there are no others", async () => {
    const gate = gateWith(2, () => true);
    const result = await enter(gate, callOf("c"));
    assert.is(result.kind, "admitted");
    if (result.kind === "admitted") {
      assert.not.ok(gate.isBetterElsewhere(result.admitted, new Set()));
    }
    await gate.close();
  });

  it("spreads what runs over the runners", async () => {
    const gate = gateWith(3);
    const taken = new Map<string, number>();
    for (let index = 0; index < 4; index += 1) {
      const result = await enter(gate, callOf(`c${index}`));
      if (result.kind === "refused") continue;
      const { id } = result.admitted.runner.server;
      taken.set(id, (taken.get(id) ?? 0) + 1);
    }
    assert.is(taken.size, 3);
    assert.ok(Math.max(...taken.values()) <= 2);
    await gate.close();
  });

  it("sends nothing to a runner that says it is full, for a while", async () => {
    const gate = gateWith(2);
    const first = await enter(gate, callOf("a"));
    if (first.kind === "refused") throw new TypeError("no place");
    const { id } = first.admitted.runner.server;
    gate.release(first.admitted, "full");
    gate.leave(first.admitted, undefined);
    const second = await enter(gate, callOf("b"));
    if (second.kind === "refused") throw new TypeError("no place");
    assert.is.not(second.admitted.runner.server.id, id);
    await gate.close();
  });

  it("ends the wait of a caller that leaves", async () => {
    const gate = gateWith(1);
    for (let index = 0; index < SLOTS; index += 1) {
      await enter(gate, callOf(`c${index}`));
    }
    const route = routeOf({ kind: "stream", objectiveMs: 60_000 });
    const waiting = enter(gate, callOf("late", { route }));
    gate.cancel("late", {
      error: failure(1218),
      retryAfterMs: 1,
    });
    assert.is((await waiting).kind, "refused");
    assert.is(gate.waitingCount, 0);
    await gate.close();
  });

  describe("whose runner has started again", () => {
    const FIRST: BackendServer = {
      id: "r0",
      startedAtMs: 1000,
      service: "model",
      address: "10.0.0.0:80",
      dataCentre: "here",
      slots: SLOTS,
      isLeaving: false,
      heartbeat: 500,
    };
    const SECOND: BackendServer = { ...FIRST, startedAtMs: 2000, heartbeat: 1 };

    function startAgain(gate: ServiceGate): void {
      gate.removeServer(FIRST.id);
      gate.endLife(FIRST, SECOND);
      gate.setServer(SECOND);
    }

    function refused(gate: ServiceGate, result: Result): void {
      if (result.kind === "refused") throw new TypeError("no place");
      gate.release(result.admitted, "full");
      gate.leave(result.admitted, undefined);
    }

    it("forgets what the earlier life refused", async () => {
      // The service's only runner refuses until it crashes. Callers wait, and
      // once the new life is known nothing holds them back.
      const gate = gateWith(0);
      gate.setServer(FIRST);
      const placed = [1, 2, 3, 4].map((index) =>
        enter(gate, callOf(`c${index}`)),
      );
      for (const result of await Promise.all(placed)) refused(gate, result);
      assert.ok(gate.isOut("model"));
      const waiting = enter(gate, callOf("waiting"));
      assert.is(gate.waitingCount, 1);
      startAgain(gate);
      assert.not.ok(gate.isOut("model"));
      assert.is((await waiting).kind, "admitted");
      await gate.close();
    });

    it("doesn't count a refusal of the earlier life that comes late", async () => {
      const gate = gateWith(0);
      gate.setServer(FIRST);
      const placed = [1, 2, 3, 4].map((index) =>
        enter(gate, callOf(`c${index}`)),
      );
      const results = await Promise.all(placed);
      startAgain(gate);
      for (const result of results) refused(gate, result);
      assert.not.ok(gate.isOut("model"));
      assert.is((await enter(gate, callOf("next"))).kind, "admitted");
      await gate.close();
    });

    it("tells of its slowness by its life", async () => {
      const gate = gateWith(2, (_, startedAtMs) => startedAtMs === 1000);
      gate.setServer(FIRST);
      const others = await enter(gate, callOf("a"));
      if (others.kind === "refused") throw new TypeError("no place");
      assert.is.not(others.admitted.runner.server.id, FIRST.id);
      startAgain(gate);
      const next = await enter(gate, callOf("b"));
      if (next.kind === "refused") throw new TypeError("no place");
      assert.is(next.admitted.runner.server.startedAtMs, 2000);
      await gate.close();
    });

    it("has it in one service only", async () => {
      const gate = gateWith(0);
      gate.setServer(FIRST);
      gate.setServer({ ...FIRST, service: "other" });
      assert.is((await enter(gate, callOf("a"))).kind, "refused");
      await gate.close();
    });
  });
});
