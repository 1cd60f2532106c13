import * as assert from "uvu/assert";
import { EngineClient } from "../../src/daemon/expert-map/engine-client.js";
import { OrderTask, orderStream } from "../../src/daemon/orders/order-task.js";
import { createContext } from "../../src/daemon/process-context.js";
import { parseSettings } from "../../src/daemon/settings.js";
import { LogClient } from "../../src/platform/log-client.js";
import { startEngine } from "../../standins/engine.js";
import {
  EngineGroup,
  defaultEngineGroupSettings,
} from "../../standins/engine-group.js";
import {
  createEngineInterface,
  type EngineInterface,
} from "../../standins/engine-interface.js";
import { startLog } from "../../standins/log.js";
import { describe, it } from "../support/describe.js";
import { waitFor } from "../support/wait.js";

const GROUP = "pool";
const EFFECT_MS = 300;

interface EngineFixture {
  readonly engine: EngineInterface;
  /** Appends a record to the stream; returns its offset. */
  readonly append: (record: unknown) => Promise<number>;
  /** Reasons for which the agent delayed orders. */
  readonly waits: () => readonly unknown[];
}

async function withEngine(
  checksFencing: boolean,
  body: (fixture: EngineFixture) => Promise<void>,
): Promise<void> {
  await using log = await startLog();
  const client = LogClient.create(log.address);
  const group = EngineGroup.create(defaultEngineGroupSettings);
  const engine = createEngineInterface({ group, member: "r", checksFencing });
  await using server = await startEngine({
    stepMs: 5,
    stepsOnTimer: false,
    extension: engine.handleCall,
  });
  const append = (record: unknown): Promise<number> =>
    client.append(orderStream(GROUP), [Buffer.from(JSON.stringify(record))]);
  const settings = parseSettings(
    JSON.stringify({
      role: "agent",
      name: "r",
      dataCentre: "dc",
      platform: { log: log.address, vmList: log.address },
      logLevel: "error",
      group: GROUP,
      runner: { address: server.address, kind: "model" },
    }),
    "test",
  );
  await using engineClient = EngineClient.create(server.address);
  const context = createContext(settings);
  const waits = (): readonly unknown[] =>
    context.events
      .select({ sinceMs: 0 })
      .filter(({ number }) => number === 172)
      .map(({ fields }) => fields.reason);
  const task = OrderTask.create({
    context,
    log: client,
    engine: engineClient,
    runner: "r",
    group: GROUP,
    settings: { checksFencing, effectMs: EFFECT_MS },
  });
  const ending = new AbortController();
  const running = [
    task.followLog(ending.signal),
    task.executeOrders(ending.signal),
  ];
  try {
    await body({ engine, append, waits });
  } finally {
    ending.abort();
    await Promise.all(running);
  }
}

const acquire = (holder: string, after: number): unknown => ({
  kind: "acquire",
  holder,
  after,
  sentAt: 0,
});

const load = (holder: string, after: number, value: string): unknown => ({
  kind: "order",
  holder,
  after,
  order: { kind: "load-model", runner: "r", value },
});

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? "checks" : "ignores";
  describe(`orders over real sockets, engine that ${kind} fencing tokens`, () => {
    // A holder is paused past the end of its lease. Another acquires it and has
    // a model loaded. The first one resumes and orders the old model; the
    // engine must keep the new one.
    it("keeps the later holder's order in the engine", async () => {
      await withEngine(checksFencing, async ({ engine, append }) => {
        const first = await append(acquire("first", -1));
        await append(load("first", first, "old"));
        const second = await append(acquire("second", first));
        await append(load("second", second, "new"));
        await append(load("first", first, "late"));
        const values = (): readonly string[] =>
          engine.appliedOrders.map(({ order }) => order.value);
        await waitFor(() => values().includes("new"));
        await append(load("second", second, "newest"));
        await waitFor(() => values().includes("newest"));
        assert.not(values().includes("late"));
        assert.is(values().at(-1), "newest");
      });
    });

    // The engine applies the order but its response is lost. The agent reads
    // the engine's state, so the order is neither lost nor reverted.
    it("reads the engine's state after a lost response", async () => {
      await withEngine(checksFencing, async ({ engine, append, waits }) => {
        const lease = await append(acquire("first", -1));
        engine.faults.responsesToDrop = 1;
        await append(load("first", lease, "model"));
        await waitFor(() => engine.appliedOrders.length > 0);
        await append(load("first", lease, "other"));
        await waitFor(
          () => engine.appliedOrders.at(-1)?.order.value === "other",
        );
        const expectedReasons = checksFencing ? [] : ["start", "lost answer"];
        assert.equal(waits(), expectedReasons);
      });
    });
  });
}
