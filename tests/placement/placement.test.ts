import * as assert from "uvu/assert";
import {
  createRandom,
  defaultPlacementSettings,
  ignoreEvents,
  Placement,
  type Choice,
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

function runner(index: number, dataCentre = "caerdydd"): RunnerDescription {
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

function create(
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
    placement.setRunner(runner(index));
  }
  return placement;
}

function chosen(placement: Placement, wanted = request()): Choice {
  return placement.choose(wanted).unsafeCoerce();
}

function start(placement: Placement, wanted = request()): Choice {
  const choice = chosen(placement, wanted);
  placement.onStarted({ request: wanted, choice });
  return choice;
}

describe("placement", () => {
  it("refuses truthfully when no runner serves the pool", () => {
    const error = create(2)
      .choose(request({ pool: "other" }))
      .swap();
    assert.is(error.unsafeCoerce().number, 1209);
  });

  it("spreads own work that no report shows yet", () => {
    const placement = create(6);
    const counts = new Map<string, number>();
    for (let index = 0; index < 48; index += 1) {
      const { runner: name } = start(placement);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    assert.equal([...counts.values()], [8, 8, 8, 8, 8, 8]);
    assert.ok(chosen(placement).waitMs > 0);
  });

  it("tells that no runner has room", () => {
    const placement = create(1);
    for (let index = 0; index < 10; index += 1) start(placement);
    assert.not(chosen(placement).hasRoom);
  });

  describe("with a shared prefix", () => {
    const prefix = [11, 12, 13, 14];

    it("returns to the runner that holds it", () => {
      const placement = create(40);
      const first = start(placement, request({ prefix }));
      const second = chosen(placement, request({ prefix }));
      assert.is(second.runner, first.runner);
      assert.is(second.cachedTokens, 1024);
    });

    it("leaves the holder when waiting there costs more than it saves", () => {
      const placement = create(4);
      const first = start(placement, request({ prefix }));
      const load = { ...IDLE, running: 8, waiting: 4, waitingTokens: 4000 };
      placement.onReport(first.runner, load);
      const second = chosen(placement, request({ prefix }));
      assert.is.not(second.runner, first.runner);
    });

    it("moves the cache where that beats computing it again", () => {
      const kvTransfer = { setupMs: 5, msPerToken: 0.01 };
      const placement = create(4, { kvTransfer });
      const first = start(placement, request({ prefix }));
      const load = { ...IDLE, running: 8, waiting: 4, waitingTokens: 4000 };
      placement.onReport(first.runner, load);
      const second = chosen(placement, request({ prefix }));
      assert.is(second.importFrom, first.runner);
    });

    it("forgets holders whose cache was cleared or whose events have gaps", () => {
      for (const clearing of [
        [{ sequence: 1, kind: "cleared" as const }],
        [3, 5, 7].map((sequence) => ({ sequence, kind: "removed" as const })),
      ]) {
        const placement = create(2);
        const { runner: name } = start(placement, request({ prefix }));
        for (const event of clearing) {
          placement.onCacheEvent({ ...event, runner: name, hashes: [] });
        }
        assert.is(chosen(placement, request({ prefix })).cachedTokens, 0);
      }
    });
  });

  describe("when a runner's reports stop", () => {
    // The caller sees requests pile up at one runner. Its last report said
    // "empty", then its agent fell silent, while the others report that they
    // are busy. Believed for ever, the old report draws all new work.
    it("believes it as busy as the others after a while", () => {
      const time = { nowMs: 0 };
      const placement = create(4, {}, time);
      placement.onReport("runner-0", IDLE);
      time.nowMs = 10_000;
      const busy = { ...IDLE, running: 8, waiting: 8, waitingTokens: 8000 };
      for (const index of [1, 2, 3]) {
        placement.onReport(`runner-${index}`, busy);
      }
      assert.ok(chosen(placement).waitMs > 0);
    });
  });

  describe("when a runner fails fast", () => {
    // Callers see more and more errors: a runner that fails at once looks
    // idle, so that the least loaded one is always the broken one.
    it("leaves it out, probes it and takes it back", () => {
      const time = { nowMs: 0 };
      const placement = create(3, {}, time);
      const excluded = ["runner-1", "runner-2"];
      const wanted = request({ excluded });
      for (let index = 0; index < 3; index += 1) {
        const choice = start(placement, wanted);
        placement.onFailed({ request: wanted, choice });
      }
      assert.is(placement.ejectedCount, 1);
      for (let index = 0; index < 30; index += 1) {
        assert.is.not(start(placement).runner, "runner-0");
      }
      time.nowMs = 2000;
      for (let index = 0; index < 2; index += 1) {
        const probe = start(placement, wanted);
        assert.is(probe.runner, "runner-0");
        placement.onEnded({ request: wanted, choice: probe }, 500);
      }
      assert.is(placement.ejectedCount, 0);
    });

    it("never leaves out a whole pool", () => {
      const placement = create(3);
      for (let index = 0; index < 30; index += 1) {
        const choice = start(placement);
        placement.onFailed({ request: request(), choice });
      }
      assert.ok(placement.choose(request()).isRight());
    });
  });

  it("gives a slow runner less, and tries it again later", () => {
    const time = { nowMs: 0 };
    const placement = create(2, {}, time);
    const wanted = request({ excluded: ["runner-1"] });
    for (let index = 0; index < 10; index += 1) {
      const choice = start(placement, wanted);
      placement.onEnded({ request: wanted, choice }, 8 * choice.nominalMs);
    }
    for (let index = 0; index < 8; index += 1) {
      assert.is(start(placement).runner, "runner-1");
    }
    time.nowMs = 60_000;
    assert.is(start(placement).runner, "runner-0");
  });

  it("prefers a loaded adapter, a near data centre and free memory", () => {
    const placement = create(0);
    placement.setRunner({ ...runner(0), adapters: ["notices"] });
    placement.setRunner({ ...runner(1), dataCentre: "abertawe" });
    placement.setRunner(runner(2));
    const { runner: withAdapter } = chosen(
      placement,
      request({ adapter: "notices" }),
    );
    assert.is(withAdapter, "runner-0");
    placement.removeRunner("runner-0");
    assert.is(chosen(placement).runner, "runner-2");
    placement.onReport("runner-2", { ...IDLE, freeBlocks: 0 });
    assert.is(chosen(placement).runner, "runner-1");
  });
});
