import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { headerCodec } from "../../platform/headers.js";
import { listen } from "../../src/daemon/listening.js";
import { Attempt } from "../../src/direct/attempt.js";
import { RequestScheduler } from "../../src/direct/request-scheduler.js";
import { connectRunner } from "../../src/direct/runner-connections.js";
import type { DirectCall } from "../../src/direct/types.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import { NO_GROUP } from "../../src/membership/runner-groups.js";
import { createRoute } from "../routing/support.js";
import { unlimited } from "../direct/unlimited.js";
import { unusedConnections } from "../direct/unused-connections.js";
import { describe, it } from "../support/describe.js";

const SLOTS = 2;

class Site {
  readonly evacuated = new Set<string>();
  private calls = 0;
  readonly scheduler = RequestScheduler.create({
    now: () => performance.now(),
    random: createRandom(5),
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    dataCentre: "here",
    connect: () => unusedConnections,
    isSlow: () => false,
    limits: unlimited,
    isUsable: ({ dataCentre }) => !this.evacuated.has(dataCentre),
    groupOf: () => NO_GROUP,
  });

  /** Starts a runner in each data centre. */
  constructor(...dataCentres: readonly string[]) {
    dataCentres.forEach((dataCentre, index) => {
      this.scheduler.setServer({
        id: `r-${dataCentre}`,
        service: "model",
        address: `10.0.0.${index}:80`,
        dataCentre,
        slots: SLOTS,
        isLeaving: false,
        coldLeftMs: 0,
        heartbeat: 1,
        startedAtMs: undefined,
      });
    });
  }

  evacuate(dataCentre: string): void {
    this.evacuated.add(dataCentre);
    this.scheduler.onUsableRunnersChanged();
  }

  admit(): ReturnType<RequestScheduler["admit"]> {
    this.calls += 1;
    const arrivedAtMs = performance.now();
    const call: DirectCall = {
      id: `c${this.calls}`,
      method: "POST",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      fields: {
        attemptId: undefined,
        deadlineMs: 2000,
        credential: undefined,
        promptTokens: 1,
        model: undefined,
        promptParts: [],
        outputTokens: 10,
        lastEventId: 0,
      },
      route: createRoute({ kind: "stream", objectiveMs: 1000 }),
      version: 1,
      service: "model",
      account: "account",
      priority: 1,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + 2000,
    };
    return this.scheduler.admit(call);
  }
}

describe("runners of an evacuated data centre", () => {
  it("get no new request, no retry and no probe, and add no slots", async () => {
    // Guards against choices and counts that still include them.
    const site = new Site("here", "there");
    const admitted = (await site.admit()).unsafeCoerce();
    const { dataCentre } = admitted.runner.server;
    site.evacuate(dataCentre);
    for (let count = 0; count < SLOTS; count += 1) {
      const { runner } = (await site.admit()).unsafeCoerce();
      assert.is.not(runner.server.dataCentre, dataCentre);
    }
    const tried = new Set([admitted.runner]);
    const next = site.scheduler.reassign(admitted, tried);
    assert.ok(next !== undefined);
    assert.is.not(next.runner.server.dataCentre, dataCentre);
    tried.add(next.runner);
    assert.is(site.scheduler.reassign(next, tried), undefined);
    assert.equal(site.scheduler.lateServices(), []);
    await site.scheduler.close();
  });

  it("aren't ejected for requests that were withheld from them", async () => {
    // Guards against a data centre that is back but regarded as failing.
    const site = new Site("here");
    const admitted = (await site.admit()).unsafeCoerce();
    site.evacuated.add("here");
    assert.not(site.scheduler.mayBeSent(admitted));
    for (let count = 0; count < 5; count += 1) {
      admitted.runner.running += 1;
      site.scheduler.release(admitted, "failed");
    }
    assert.not(admitted.runner.health.isEjected);
    await site.scheduler.close();
  });

  it("leave requests that wait to be refused at once, with the true reason", async () => {
    // Guards against callers that wait for runners that get nothing.
    const site = new Site("here");
    for (let count = 0; count < SLOTS; count += 1) await site.admit();
    const waiting = site.admit();
    assert.is(site.scheduler.waitingCount, 1);
    const startedAtMs = performance.now();
    site.evacuate("here");
    const refusals = [await waiting, await site.admit()];
    assert.ok(performance.now() - startedAtMs < 100);
    for (const refusal of refusals) {
      const { error, retryAfterMs } = refusal.swap().unsafeCoerce();
      assert.is(error.number, 1221);
      assert.is(error.entry.outcome, "not-run");
      assert.ok(retryAfterMs > 0);
    }
    assert.is(site.scheduler.waitingCount, 0);
    await site.scheduler.close();
  });

  it("get no request that has waited for a connection", async () => {
    // Guards against requests that were placed before the evacuation.
    let received = 0;
    const server = createServer((_, response) => {
      received += 1;
      response.end();
    });
    await using runner = await listen(server, { host: "127.0.0.1", port: 0 });
    const connections = connectRunner(runner.address);
    const attempt = Attempt.create({
      connections,
      request: { method: "POST", path: "/" },
      attemptId: undefined,
      codec: headerCodec,
      sink: undefined,
      maySend: () => false,
      onAnswer: () => undefined,
      maximumBufferedBytes: 1024,
    });
    const { kind } = await attempt.run();
    connections.abortAll();
    assert.is(kind, "unsent");
    assert.is(received, 0);
  });
});
