import * as assert from "uvu/assert";
import {
  createRandom,
  failure,
  ignoreEvents,
  ignoreMeasurements,
  type Refusal,
} from "../../src/internal.js";
import type { IsSlow, ReadStatements } from "../../src/direct/runner.js";
import {
  RequestScheduler,
  type AdmittedRequest,
} from "../../src/direct/request-scheduler.js";
import type { GroupOf } from "../../src/direct/service-groups.js";
import { NO_GROUP } from "../../src/membership/runner-groups.js";
import type { BackendServer } from "../../src/membership/types.js";
import type { DirectCall } from "../../src/direct/types.js";
import { describe, it } from "../support/describe.js";
import { createRoute } from "../routing/support.js";
import { unlimited } from "./unlimited.js";
import { unusedConnections } from "./unused-connections.js";

const SLOTS = 4;
function schedulerWith(
  runnerCount: number,
  isSlow: IsSlow = () => false,
  groupOf: GroupOf = () => NO_GROUP,
  statements?: ReadStatements,
): RequestScheduler {
  const scheduler = RequestScheduler.create({
    now: () => performance.now(),
    random: createRandom(5),
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    dataCentre: "here",
    connect: () => unusedConnections,
    isSlow,
    limits: unlimited,
    groupOf,
    ...(statements === undefined ? {} : { statements }),
  });
  for (let index = 0; index < runnerCount; index += 1) {
    scheduler.setServer({
      id: `r${index}`,
      service: "model",
      address: `10.0.0.${index}:80`,
      dataCentre: index === 0 ? "here" : "there",
      slots: SLOTS,
      isLeaving: false,
      coldLeftMs: 0,
      heartbeat: 1,
      startedAtMs: undefined,
    });
  }
  return scheduler;
}

function callOf(id: string, fields: Partial<DirectCall> = {}): DirectCall {
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
      model: undefined,
      promptParts: [],
      outputTokens: 10,
      lastEventId: 0,
    },
    route: createRoute({ kind: "stream", objectiveMs: 60 }),
    version: 1,
    service: "model",
    account: "account",
    priority: 1,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + 2000,
    ...fields,
  };
}

type AdmitResult =
  | { readonly kind: "admitted"; readonly admitted: AdmittedRequest }
  | { readonly kind: "refused"; readonly refusal: Refusal };

async function admit(
  scheduler: RequestScheduler,
  call: DirectCall,
): Promise<AdmitResult> {
  const admission = await scheduler.admit(call);
  return admission.caseOf<AdmitResult>({
    Left: (refusal) => ({ kind: "refused", refusal }),
    Right: (admitted) => ({ kind: "admitted", admitted }),
  });
}

/** What the runners with these ids have said. */
class Statements implements ReadStatements {
  readonly leaving = new Set<string>();
  readonly resting = new Set<string>();

  isLeaving({ id }: BackendServer): boolean {
    return this.leaving.has(id);
  }

  restUntilMs({ id }: BackendServer): number | undefined {
    return this.resting.has(id) ? performance.now() + 1500 : undefined;
  }
}

async function admitted(
  scheduler: RequestScheduler,
  id: string,
): Promise<AdmittedRequest> {
  const result = await admit(scheduler, callOf(id));
  if (result.kind === "refused") throw new TypeError("not admitted");
  return result.admitted;
}

describe("runners that rest or leave", () => {
  for (const word of ["resting", "leaving"] as const) {
    it(`get no new, retried, moved or waiting request while ${word}`, async () => {
      // Guards against a choice of a runner that passes by what it said.
      const statements = new Statements();
      const scheduler = schedulerWith(2, undefined, undefined, statements);
      const first = await admitted(scheduler, "first");
      const { id } = first.runner.server;
      assert.ok(scheduler.mayBeSent(first));
      statements[word].add(id);
      assert.not(scheduler.mayBeSent(first));
      const second = await admitted(scheduler, "second");
      assert.is.not(second.runner.server.id, id);
      const tried = new Set([second.runner]);
      assert.is(scheduler.reassign(second, tried), undefined);
      assert.not(scheduler.hasFasterRunner(second, tried));
      assert.equal(scheduler.lateServices(), []);
      await scheduler.close();
    });
  }

  it("leave waiting callers refused at once, with the time of the first end", async () => {
    // Guards against callers that wait for a service of which all runners rest.
    const statements = new Statements();
    const scheduler = schedulerWith(1, undefined, undefined, statements);
    for (let index = 0; index < SLOTS; index += 1) {
      await admitted(scheduler, `c${index}`);
    }
    const route = createRoute({ kind: "stream", objectiveMs: 60_000 });
    const waiting = admit(scheduler, callOf("late", { route }));
    assert.is(scheduler.waitingCount, 1);
    statements.resting.add("r0");
    scheduler.onUsableRunnersChanged();
    const result = await waiting;
    if (result.kind === "admitted") throw new TypeError("admitted");
    assert.is(result.refusal.error.number, 1222);
    assert.ok(result.refusal.retryAfterMs > 1400);
    await scheduler.close();
  });
});

describe("the loads that a scheduler reports", () => {
  it("count what runs and what waits in each group by priority", async () => {
    // Guards against shares that are divided by what isn't there.
    const scheduler = schedulerWith(
      1,
      () => false,
      () => "model.g",
    );
    const calls = Array.from({ length: SLOTS + 1 }, (_, index) =>
      admit(scheduler, callOf(`c${index}`, { priority: 2 })),
    );
    const urgent = admit(scheduler, callOf("u", { priority: 0 }));
    const first = await calls[0];
    const [load] = scheduler.ownLoads();
    assert.is(load.group, "model.g");
    const counts = load.priorities
      .map(({ priority, running, waiting }) => [priority, running, waiting])
      .sort(([one], [other]) => one - other);
    assert.equal(counts, [
      [0, 0, 1],
      [2, SLOTS, 1],
    ]);
    if (first.kind !== "admitted") throw new Error("not admitted");
    scheduler.release(first.admitted, "served");
    scheduler.finish(first.admitted, 20);
    assert.is((await urgent).kind, "admitted");
    const [later] = scheduler.ownLoads();
    const running = later.priorities.find(({ priority }) => priority === 0);
    assert.is(running?.running, 1);
    await Promise.all(calls);
    await scheduler.close();
  });
});

describe("request scheduler", () => {
  it("admits or refuses every request of a burst", async () => {
    // Ten times as many requests as there are slots arrive at once, and each
    // response takes 20 ms. Every caller must get a runner or a refusal, and a
    // refusal must say when to retry.
    const scheduler = schedulerWith(3);
    let maximumRunning = 0;
    let running = 0;
    const results = await Promise.all(
      Array.from({ length: 120 }, async (_, index) => {
        const result = await admit(scheduler, callOf(`c${index}`));
        if (result.kind === "refused") return result;
        running += 1;
        maximumRunning = Math.max(maximumRunning, running);
        await new Promise((resolve) => {
          setTimeout(resolve, 20);
        });
        running -= 1;
        scheduler.release(result.admitted, "served");
        scheduler.finish(result.admitted, 20);
        return result;
      }),
    );
    const refused = results.filter((result) => result.kind === "refused");
    assert.ok(refused.length > 0 && refused.length < results.length);
    assert.ok(refused.every(({ refusal }) => refusal.retryAfterMs > 0));
    assert.ok(
      refused.every(({ refusal }) => refusal.error.entry.outcome === "not-run"),
    );
    assert.ok(maximumRunning <= 3 * SLOTS, String(maximumRunning));
    assert.is(scheduler.waitingCount, 0);
    await scheduler.close();
  });

  it("lets no request wait until its response would be late", async () => {
    // Guards against a queue in which all requests wait for the whole objective
    // before they start, so that every response is late.
    const scheduler = schedulerWith(1);
    const route = createRoute({ kind: "stream", objectiveMs: 400 });
    for (let index = 0; index < SLOTS; index += 1) {
      const result = await admit(scheduler, callOf(`c${index}`, { route }));
      if (result.kind === "refused") throw new Error("no runner");
      scheduler.onResponseStarted(result.admitted, 300);
    }
    const startedAtMs = performance.now();
    const result = await admit(scheduler, callOf("waiting", { route }));
    const waitedMs = performance.now() - startedAtMs;
    assert.is(result.kind, "refused");
    assert.ok(waitedMs < 200, String(waitedMs));
    await scheduler.close();
  });

  it("refuses at once when the service has no runner", async () => {
    const scheduler = schedulerWith(0);
    const result = await admit(scheduler, callOf("c"));
    assert.is(result.kind, "refused");
    await scheduler.close();
  });

  it("avoids a slow runner while others have free slots", async () => {
    // One of three ranks is slow. Requests that it runs would delay all streams
    // of the group, including those at the other ranks.
    const scheduler = schedulerWith(3, (address) => address === "10.0.0.0:80");
    for (let index = 0; index < 4; index += 1) {
      const result = await admit(scheduler, callOf(`c${index}`));
      assert.is(result.kind, "admitted");
      if (result.kind === "refused") continue;
      assert.is.not(result.admitted.runner.server.id, "r0");
      assert.not.ok(scheduler.hasFasterRunner(result.admitted, new Set()));
    }
    await scheduler.close();
  });

  it("queues requests while every runner refuses", async () => {
    // A group has lost a rank and all its runners refuse. A caller sent there
    // loses both attempts within milliseconds; most callers are on a retry
    // already and don't come back.
    const scheduler = schedulerWith(4);
    const tried: AdmittedRequest[] = [];
    for (let index = 0; index < 4; index += 1) {
      const result = await admit(scheduler, callOf(`c${index}`));
      assert.is(result.kind, "admitted");
      if (result.kind === "refused") continue;
      tried.push(result.admitted);
      scheduler.release(result.admitted, "full");
      scheduler.finish(result.admitted, undefined);
    }
    assert.ok(scheduler.isUnavailable("model"));
    const waiting = [4, 5, 6].map((index) =>
      admit(scheduler, callOf(`c${index}`)),
    );
    assert.is(scheduler.waitingCount, 3);
    scheduler.onAccepted(tried[0]);
    scheduler.setServer({
      id: "r9",
      service: "model",
      address: "10.0.0.9:80",
      dataCentre: "here",
      slots: SLOTS,
      isLeaving: false,
      coldLeftMs: 0,
      heartbeat: 1,
      startedAtMs: undefined,
    });
    const results = await Promise.all(waiting);
    assert.ok(results.every(({ kind }) => kind === "admitted"));
    await scheduler.close();
  });

  it("keeps using a group of which some runners rest", async () => {
    // Guards against refusals by resting runners that open the group's breaker.
    const scheduler = schedulerWith(4);
    for (let index = 0; index < 4; index += 1) {
      const result = await admit(scheduler, callOf(`c${index}`));
      if (result.kind === "refused")
        throw new TypeError("the request wasn't admitted");
      scheduler.release(result.admitted, "resting");
      scheduler.finish(result.admitted, undefined);
      assert.not(result.admitted.runner.health.isEjected);
    }
    assert.not(scheduler.isUnavailable("model"));
    await scheduler.close();
  });

  it("uses slow runners if there are no others", async () => {
    const scheduler = schedulerWith(2, () => true);
    const result = await admit(scheduler, callOf("c"));
    assert.is(result.kind, "admitted");
    if (result.kind === "admitted") {
      assert.not.ok(scheduler.hasFasterRunner(result.admitted, new Set()));
    }
    await scheduler.close();
  });

  it("distributes requests over the runners", async () => {
    const scheduler = schedulerWith(3);
    const taken = new Map<string, number>();
    for (let index = 0; index < 4; index += 1) {
      const result = await admit(scheduler, callOf(`c${index}`));
      if (result.kind === "refused") continue;
      const { id } = result.admitted.runner.server;
      taken.set(id, (taken.get(id) ?? 0) + 1);
    }
    assert.is(taken.size, 3);
    assert.ok(Math.max(...taken.values()) <= 2);
    await scheduler.close();
  });

  it("avoids a full runner for a while", async () => {
    const scheduler = schedulerWith(2);
    const first = await admit(scheduler, callOf("a"));
    if (first.kind === "refused")
      throw new TypeError("the request wasn't admitted");
    const { id } = first.admitted.runner.server;
    scheduler.release(first.admitted, "full");
    scheduler.finish(first.admitted, undefined);
    const second = await admit(scheduler, callOf("b"));
    if (second.kind === "refused")
      throw new TypeError("the request wasn't admitted");
    assert.is.not(second.admitted.runner.server.id, id);
    await scheduler.close();
  });

  it("removes a cancelled request from the queue", async () => {
    const scheduler = schedulerWith(1);
    for (let index = 0; index < SLOTS; index += 1) {
      await admit(scheduler, callOf(`c${index}`));
    }
    const route = createRoute({ kind: "stream", objectiveMs: 60_000 });
    const waiting = admit(scheduler, callOf("late", { route }));
    scheduler.cancel("late", {
      error: failure(1218),
      retryAfterMs: 1,
    });
    assert.is((await waiting).kind, "refused");
    assert.is(scheduler.waitingCount, 0);
    await scheduler.close();
  });

  describe("after a runner's restart", () => {
    const FIRST: BackendServer = {
      id: "r0",
      startedAtMs: 1000,
      service: "model",
      address: "10.0.0.0:80",
      dataCentre: "here",
      slots: SLOTS,
      isLeaving: false,
      coldLeftMs: 0,
      heartbeat: 500,
    };
    const SECOND: BackendServer = { ...FIRST, startedAtMs: 2000, heartbeat: 1 };

    function restart(scheduler: RequestScheduler): void {
      scheduler.removeServer(FIRST.id);
      scheduler.endIncarnation(FIRST, SECOND);
      scheduler.setServer(SECOND);
    }

    function refuse(scheduler: RequestScheduler, result: AdmitResult): void {
      if (result.kind === "refused")
        throw new TypeError("the request wasn't admitted");
      scheduler.release(result.admitted, "full");
      scheduler.finish(result.admitted, undefined);
    }

    it("drops the refusals of the earlier incarnation", async () => {
      // The service's only runner refuses until it crashes. Waiting callers
      // must be admitted as soon as the new incarnation is known.
      const scheduler = schedulerWith(0);
      scheduler.setServer(FIRST);
      const placed = [1, 2, 3, 4].map((index) =>
        admit(scheduler, callOf(`c${index}`)),
      );
      for (const result of await Promise.all(placed)) refuse(scheduler, result);
      assert.ok(scheduler.isUnavailable("model"));
      const waiting = admit(scheduler, callOf("waiting"));
      assert.is(scheduler.waitingCount, 1);
      restart(scheduler);
      assert.not.ok(scheduler.isUnavailable("model"));
      assert.is((await waiting).kind, "admitted");
      await scheduler.close();
    });

    it("ignores a late refusal of the earlier incarnation", async () => {
      const scheduler = schedulerWith(0);
      scheduler.setServer(FIRST);
      const placed = [1, 2, 3, 4].map((index) =>
        admit(scheduler, callOf(`c${index}`)),
      );
      const results = await Promise.all(placed);
      restart(scheduler);
      for (const result of results) refuse(scheduler, result);
      assert.not.ok(scheduler.isUnavailable("model"));
      assert.is((await admit(scheduler, callOf("next"))).kind, "admitted");
      await scheduler.close();
    });

    it("tracks slowness per incarnation", async () => {
      const scheduler = schedulerWith(
        2,
        (_, startedAtMs) => startedAtMs === 1000,
      );
      scheduler.setServer(FIRST);
      const beforeRestart = await admit(scheduler, callOf("a"));
      if (beforeRestart.kind === "refused")
        throw new TypeError("the request wasn't admitted");
      assert.is.not(beforeRestart.admitted.runner.server.id, FIRST.id);
      restart(scheduler);
      const afterRestart = await admit(scheduler, callOf("b"));
      if (afterRestart.kind === "refused")
        throw new TypeError("the request wasn't admitted");
      assert.is(afterRestart.admitted.runner.server.startedAtMs, 2000);
      await scheduler.close();
    });

    it("keeps a runner in one service only", async () => {
      const scheduler = schedulerWith(0);
      scheduler.setServer(FIRST);
      scheduler.setServer({ ...FIRST, service: "other" });
      assert.is((await admit(scheduler, callOf("a"))).kind, "refused");
      await scheduler.close();
    });
  });
});
