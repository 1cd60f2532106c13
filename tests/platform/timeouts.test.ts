import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { StoreClient } from "../../platform/store.js";
import { listen } from "../../src/daemon/listening.js";
import { LogClient } from "../../src/platform/log-client.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { collectGarbage } from "../support/collect-garbage.js";
import { describe, it } from "../support/describe.js";
import { outcomeWithin, type Outcome } from "../support/outcome.js";

/** Enough for the code of a call to be optimized; 300 weren't, 1000 were. */
const EARLIER_CALLS = 3000;
const CALLS = 10;
/** Several times the timeout of a call without a wait, ms. */
const SOON_MS = 6000;
const COLLECT_EVERY_MS = 100;

/** How calls end while garbage is collected again and again. */
async function outcomesOf(
  call: () => Promise<unknown>,
): Promise<readonly Outcome[]> {
  const timer = setInterval(collectGarbage, COLLECT_EVERY_MS);
  try {
    const calls = Array.from({ length: CALLS }, call);
    return await Promise.all(
      calls.map((ended) => outcomeWithin(ended, SOON_MS)),
    );
  } finally {
    clearInterval(timer);
  }
}

const ALL_FAILED = Array.from({ length: CALLS }, () => "failed");

describe("a call on a connection that falls silent, long after the start", () => {
  // A process has made some thousand calls, so that its code is optimized. Then
  // its connection to the store falls silent. The call has a timeout, but only
  // weak references led to it: it was collected as garbage and never came. An
  // entry then followed the register no more, and callers' requests went to
  // runners that had left, until its restart. Evidence: with 300 calls before,
  // 20 of 20 ended in time, with 1000 none.

  it("to the platform's store is given up in time", async () => {
    await using store = await KeyedStore.create();
    store.put("keyed.things", "a", 1);
    await using client = StoreClient.create(store.address);
    const topic = client.keyedTopic("keyed.things");
    const { signal } = new AbortController();
    const call = (): Promise<unknown> => topic.changes(0, 0, signal);
    for (let made = 0; made < EARLIER_CALLS; made += 1) await call();
    store.mood = "silent";
    assert.equal(await outcomesOf(call), ALL_FAILED);
  });

  it("to the log service is given up in time", async () => {
    let isSilent = false;
    const page = { startOffset: 0, nextOffset: 0, records: [] };
    const server = createServer((request, response) => {
      request.resume();
      if (!isSilent) response.end(JSON.stringify(page));
    });
    await using service = await listen(server, { host: "127.0.0.1", port: 0 });
    const client = LogClient.create(`http://${service.address}`);
    const call = (): Promise<unknown> => client.read("stream", { from: 0 });
    for (let made = 0; made < EARLIER_CALLS; made += 1) await call();
    isSilent = true;
    assert.equal(await outcomesOf(call), ALL_FAILED);
  });
});
