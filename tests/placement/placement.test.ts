import * as assert from "uvu/assert";
import {
  createRandom,
  defaultPlacementSettings,
  ignoreEvents,
  Placement,
  type PlacementChoice,
  type PlacementRequest,
  type PlacementSettings,
  type RunnerDescription,
  type RunnerLoad,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const POOL = "drafting";
const IDLE: RunnerLoad = {
  running: 0,
  waiting: 0,
  waitingTokens: 0,
  freeBlocks: 1000,
  totalBlocks: 1000,
  ageMs: 0,
  stepMs: 5,
};

function describeRunner(
  index: number,
  dataCentre = "caerdydd",
): RunnerDescription {
  return {
    runner: `runner-${index}`,
    group: `group-${index % 3}`,
    dataCentre,
    pools: [POOL],
    adapters: [],
    slots: 8,
  };
}

function request(values: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    pool: POOL,
    priority: 5,
    promptTokens: 1024,
    outputTokens: 100,
    prefix: [],
    ...values,
  };
}

function createPlacement(
  count: number,
  settings: Partial<PlacementSettings> = {},
  time = { nowMs: 0 },
): Placement {
  const placement = Placement.create({
    now: () => time.nowMs,
    random: createRandom(5),
    emit: ignoreEvents,
    settings: { ...defaultPlacementSettings("caerdydd"), ...settings },
  });
  for (let index = 0; index < count; index += 1) {
    placement.setRunner(describeRunner(index));
  }
  return placement;
}

function choose(
  placement: Placement,
  wantedRequest = request(),
): PlacementChoice {
  return placement.choose(wantedRequest).unsafeCoerce();
}

function start(
  placement: Placement,
  wantedRequest = request(),
): PlacementChoice {
  const choice = choose(placement, wantedRequest);
  placement.onStarted({ request: wantedRequest, choice });
  return choice;
}

describe("placement", () => {
  it("refuses with error 1209 when no runner serves the pool", () => {
    const error = createPlacement(2)
      .choose(request({ pool: "other" }))
      .swap();
    assert.is(error.unsafeCoerce().number, 1209);
  });

  it("spreads requests that no load report covers yet", () => {
    const placement = createPlacement(6);
    const counts = new Map<string, number>();
    for (let index = 0; index < 48; index += 1) {
      const { runner: name } = start(placement);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    assert.equal([...counts.values()], [8, 8, 8, 8, 8, 8]);
    assert.ok(choose(placement).waitMs > 0);
  });

  it("reports that no runner has room", () => {
    const placement = createPlacement(1);
    for (let index = 0; index < 10; index += 1) start(placement);
    assert.not(choose(placement).hasRoom);
  });

  describe("with a shared prefix", () => {
    const prefix = [11, 12, 13, 14];

    it("chooses the runner that has it cached", () => {
      const placement = createPlacement(40);
      const first = start(placement, request({ prefix }));
      const second = choose(placement, request({ prefix }));
      assert.is(second.runner, first.runner);
      assert.is(second.cachedTokens, 1024);
    });

    it("avoids the holder when waiting there costs more than it saves", () => {
      const placement = createPlacement(4);
      const first = start(placement, request({ prefix }));
      const load = { ...IDLE, running: 8, waiting: 4, waitingTokens: 4000 };
      placement.onReport(first.runner, load);
      const second = choose(placement, request({ prefix }));
      assert.is.not(second.runner, first.runner);
    });

    it("transfers the cache when that is faster than recomputing it", () => {
      const kvTransfer = { setupMs: 5, msPerToken: 0.01 };
      const placement = createPlacement(4, { kvTransfer });
      const first = start(placement, request({ prefix }));
      const load = { ...IDLE, running: 8, waiting: 4, waitingTokens: 4000 };
      placement.onReport(first.runner, load);
      const second = choose(placement, request({ prefix }));
      assert.is(second.importFrom, first.runner);
    });

    it("ignores holders whose cache was cleared or whose events have gaps", () => {
      for (const events of [
        [{ sequence: 1, kind: "cleared" as const }],
        [3, 5, 7].map((sequence) => ({ sequence, kind: "removed" as const })),
      ]) {
        const placement = createPlacement(2);
        const { runner: name } = start(placement, request({ prefix }));
        for (const event of events) {
          placement.onCacheEvent({ ...event, runner: name, hashes: [] });
        }
        assert.is(choose(placement, request({ prefix })).cachedTokens, 0);
      }
    });
  });

  describe("when a runner's reports stop", () => {
    // Guards against requests piling up at a runner whose agent stopped
    // reporting after a report of no load, while all others report that they
    // are busy. An old report must lose its weight.
    it("assumes the mean load of the pool after a while", () => {
      const time = { nowMs: 0 };
      const placement = createPlacement(4, {}, time);
      placement.onReport("runner-0", IDLE);
      time.nowMs = 10_000;
      const busy = { ...IDLE, running: 8, waiting: 8, waitingTokens: 8000 };
      for (const index of [1, 2, 3]) {
        placement.onReport(`runner-${index}`, busy);
      }
      assert.ok(choose(placement).waitMs > 0);
    });
  });

  describe("when a runner fails fast", () => {
    // Guards against a growing share of errors: a runner that fails at once
    // looks idle, so it would always be chosen as the least loaded one.
    it("ejects it, probes it and readmits it", () => {
      const time = { nowMs: 0 };
      const placement = createPlacement(3, {}, time);
      const excluded = ["runner-1", "runner-2"];
      const wantedRequest = request({ excluded });
      for (let index = 0; index < 3; index += 1) {
        const choice = start(placement, wantedRequest);
        placement.onFailed({ request: wantedRequest, choice });
      }
      assert.is(placement.ejectedCount, 1);
      for (let index = 0; index < 30; index += 1) {
        assert.is.not(start(placement).runner, "runner-0");
      }
      time.nowMs = 2000;
      for (let index = 0; index < 2; index += 1) {
        const probe = start(placement, wantedRequest);
        assert.is(probe.runner, "runner-0");
        placement.onEnded({ request: wantedRequest, choice: probe }, 500);
      }
      assert.is(placement.ejectedCount, 0);
    });

    it("still chooses a runner when the whole pool is ejected", () => {
      const placement = createPlacement(3);
      for (let index = 0; index < 30; index += 1) {
        const choice = start(placement);
        placement.onFailed({ request: request(), choice });
      }
      assert.ok(placement.choose(request()).isRight());
    });
  });

  it("avoids a slow runner, but tries it again later", () => {
    const time = { nowMs: 0 };
    const placement = createPlacement(2, {}, time);
    const wantedRequest = request({ excluded: ["runner-1"] });
    for (let index = 0; index < 10; index += 1) {
      const choice = start(placement, wantedRequest);
      placement.onEnded(
        { request: wantedRequest, choice },
        8 * choice.nominalMs,
      );
    }
    for (let index = 0; index < 8; index += 1) {
      assert.is(start(placement).runner, "runner-1");
    }
    time.nowMs = 60_000;
    assert.is(start(placement).runner, "runner-0");
  });

  it("prefers a loaded adapter, a local data centre and free KV cache", () => {
    const placement = createPlacement(0);
    placement.setRunner({ ...describeRunner(0), adapters: ["notices"] });
    placement.setRunner({ ...describeRunner(1), dataCentre: "abertawe" });
    placement.setRunner(describeRunner(2));
    const { runner: withAdapter } = choose(
      placement,
      request({ adapter: "notices" }),
    );
    assert.is(withAdapter, "runner-0");
    placement.removeRunner("runner-0");
    assert.is(choose(placement).runner, "runner-2");
    placement.onReport("runner-2", { ...IDLE, freeBlocks: 0 });
    assert.is(choose(placement).runner, "runner-1");
  });
});
