import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { VirtualTime } from "../../fuzz/virtual-time.js";
import { headerCodec } from "../../platform/headers.js";
import { listen } from "../../src/daemon/listening.js";
import { Attempt } from "../../src/direct/attempt.js";
import { verdictOf } from "../../src/direct/attempt-ends.js";
import { createRequestLimits } from "../../src/direct/request-limits.js";
import { connectRunner } from "../../src/direct/runner-connections.js";
import { RunnerPool } from "../../src/direct/runner-pool.js";
import type { Runner } from "../../src/direct/runner.js";
import type { AttemptEnd } from "../../src/direct/types.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import { ColdRunners } from "../../src/limits/cold-runners.js";
import { ColdShares } from "../../src/limits/cold-shares.js";
import type { BackendServer } from "../../src/membership/types.js";
import { unusedConnections } from "../direct/unused-connections.js";
import { describe, it } from "../support/describe.js";

const SERVER: BackendServer = {
  id: "r0",
  service: "model",
  address: "10.0.0.1:80",
  dataCentre: "here",
  slots: 6,
  isLeaving: false,
  coldLeftMs: 0,
  heartbeat: 1,
  startedAtMs: 1,
};

const RESET: AttemptEnd = {
  kind: "broken",
  reason: "connection reset",
  isLost: true,
};
const GARBLED: AttemptEnd = {
  kind: "broken",
  reason: "answer to another attempt",
  isLost: false,
};
const SILENT: AttemptEnd = {
  kind: "given-up",
  wasSent: true,
  reason: "stalled",
};
const NOT_LISTENING: AttemptEnd = {
  kind: "unsent",
  reason: "connection refused",
  cause: "refused",
};
const NOT_CONNECTED: AttemptEnd = {
  kind: "unsent",
  reason: "connect timeout",
  cause: "unconnected",
};
const REFUSED: AttemptEnd = {
  kind: "not-run",
  status: 503,
  asksForRest: false,
  faultyRunner: undefined,
};
const SERVED: AttemptEnd = { kind: "streamed", endMark: "chunks" };
const FAILED: AttemptEnd = {
  kind: "answered",
  answer: {
    status: 500,
    headers: {},
    body: Buffer.alloc(0),
    endMark: "length",
  },
};

const ANSWERED: ReadonlySet<string> = new Set([
  "answered",
  "not-run",
  "streamed",
]);

/** One warm runner of a service with a rate for cold ones. */
class Site {
  private readonly time = VirtualTime.create(0);
  private readonly now = (): number => this.time.nowMs;
  readonly coldRunners = ColdRunners.create({
    now: this.now,
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    serviceNamed: () => ({ requestsPerSecond: 3, startMs: 3000 }),
  });
  private readonly pool = RunnerPool.create({
    now: this.now,
    random: createRandom(1),
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    connect: () => unusedConnections,
    dataCentre: "here",
    isSlow: () => false,
    limits: createRequestLimits({
      limits: {
        isOpen: () => true,
        onSent: () => undefined,
        forget: () => undefined,
      },
      coldRunners: this.coldRunners,
      coldShares: ColdShares.create({
        name: "entry-1",
        now: this.now,
        random: createRandom(2),
        bounds: { overshoot: 1.5, tolerance: 5 },
        entries: () => ["entry-1"],
      }),
    }),
  });

  constructor() {
    this.coldRunners.onRegistered(SERVER);
    this.pool.set(SERVER);
  }

  get isCold(): boolean {
    return this.coldRunners.isCold(SERVER.id);
  }

  select(): Runner {
    const runner = this.pool.selectRunner(new Set());
    assert.ok(runner !== undefined, "a runner is open");
    return runner;
  }

  /** Runs attempts one after the other, 100 ms apart. */
  attempt(...ends: readonly AttemptEnd[]): void {
    for (const end of ends) {
      const runner = this.select();
      this.pool.start(runner);
      this.time.advance(100);
      if (ANSWERED.has(end.kind))
        this.coldRunners.onAnswer(SERVER.id, undefined);
      this.pool.release(runner, verdictOf(end));
    }
  }
}

describe("an attempt at an address where nothing listens", () => {
  it("says that the connection was refused", async () => {
    // Guards against a change of the client library that hides the refusal.
    const port = await listen(createServer(), { host: "127.0.0.1", port: 0 });
    const { address } = port;
    await port[Symbol.asyncDispose]();
    const end = await Attempt.create({
      connections: connectRunner(address),
      request: { method: "POST", path: "/" },
      attemptId: undefined,
      codec: headerCodec,
      sink: undefined,
      onAnswer: () => undefined,
      maximumBufferedBytes: 1024,
    }).run();
    assert.is(verdictOf(end), "unreachable");
  });
});

describe("a runner of which requests fail", () => {
  it("isn't regarded as started again for one lost connection", () => {
    // Guards against a few failures that move the traffic away from a runner.
    for (const end of [RESET, SILENT, NOT_CONNECTED]) {
      const site = new Site();
      for (let count = 0; count < 20; count += 1) {
        site.attempt(end);
        assert.not(site.isCold, end.kind);
        site.attempt(SERVED);
      }
    }
  });

  it("isn't regarded as started again for what it answers", () => {
    // Guards against error responses and refusals taken for a crash.
    const site = new Site();
    site.attempt(FAILED, FAILED, FAILED, FAILED, FAILED);
    assert.not(site.isCold);
    site.attempt(GARBLED, GARBLED);
    assert.not(site.isCold);
    const refused = new Site();
    refused.attempt(REFUSED);
    assert.not(refused.isCold);
  });

  it("counts as cold once its address refuses connections", () => {
    // Guards against a runner that starts again and is used as if it were warm.
    const site = new Site();
    site.attempt(NOT_LISTENING);
    assert.ok(site.isCold);
  });

  it("counts as cold after two lost connections without an answer between", () => {
    // Guards against a crash that shows itself by resets or by silence alone.
    for (const end of [RESET, SILENT, NOT_CONNECTED]) {
      const site = new Site();
      site.attempt(SERVED, end, end);
      assert.ok(site.isCold, end.kind);
    }
  });

  it("doesn't count the losses of an earlier life", () => {
    // Guards against a new start that is blamed for the end of the one before.
    const site = new Site();
    site.attempt(RESET);
    const later = { ...SERVER, startedAtMs: 2 };
    site.coldRunners.onRegistered(later);
    site.attempt(RESET);
    assert.not(site.isCold);
  });
});
