import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { StoreClient } from "../../platform/store.js";
import { listen } from "../../src/daemon/listening.js";
import { LogClient } from "../../src/platform/log-client.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { collectGarbage } from "../support/collect-garbage.js";
import { describe, it } from "../support/describe.js";
import { outcomeWithin, type Outcome } from "../support/outcome.js";

/** Enough calls for V8 to optimize the code: 1000 were enough, 300 were not. */
const EARLIER_CALL_COUNT = 3000;
const CALL_COUNT = 10;
/** Several times the timeout of a call that doesn't wait for records, ms. */
const OUTCOME_LIMIT_MS = 6000;
const COLLECTION_INTERVAL_MS = 100;

/** Outcomes of calls while garbage is collected repeatedly. */
async function outcomesOf(
  call: () => Promise<unknown>,
): Promise<readonly Outcome[]> {
  const timer = setInterval(collectGarbage, COLLECTION_INTERVAL_MS);
  try {
    const calls = Array.from({ length: CALL_COUNT }, call);
    return await Promise.all(
      calls.map((running) => outcomeWithin(running, OUTCOME_LIMIT_MS)),
    );
  } finally {
    clearInterval(timer);
  }
}

const ALL_FAILED = Array.from({ length: CALL_COUNT }, () => "failed");

describe("a call on a silent connection, in optimized code", () => {
  // After some thousand calls the code of a call is optimized. Then the
  // connection to the store falls silent. If only weak references lead to the
  // call's timeout, it is collected as garbage and never fires: the entry stops
  // following the register, and requests go to runners that have left until the
  // entry restarts. With that fault, 20 of 20 calls timed out after 300 earlier
  // calls, and none after 1000.

  it("to the platform's store times out", async () => {
    await using store = await KeyedStore.create();
    store.put("keyed.things", "a", 1);
    await using client = StoreClient.create(store.address);
    const topic = client.keyedTopic("keyed.things");
    const { signal } = new AbortController();
    const call = (): Promise<unknown> => topic.changes(0, 0, signal);
    for (let count = 0; count < EARLIER_CALL_COUNT; count += 1) await call();
    store.availability = "silent";
    assert.equal(await outcomesOf(call), ALL_FAILED);
  });

  it("to the log service times out", async () => {
    let isSilent = false;
    const page = { startOffset: 0, nextOffset: 0, records: [] };
    const server = createServer((request, response) => {
      request.resume();
      if (!isSilent) response.end(JSON.stringify(page));
    });
    await using service = await listen(server, { host: "127.0.0.1", port: 0 });
    const client = LogClient.create(`http://${service.address}`);
    const call = (): Promise<unknown> => client.read("stream", { from: 0 });
    for (let count = 0; count < EARLIER_CALL_COUNT; count += 1) await call();
    isSilent = true;
    assert.equal(await outcomesOf(call), ALL_FAILED);
  });
});
