import { createServer } from "node:http";
import { Client, buildConnector } from "undici";
import * as assert from "uvu/assert";
import { createRankPort } from "../../platform/runner.js";
import { listen } from "../../src/daemon/listening.js";
import { describe, it } from "../support/describe.js";
import { outcomeWithin } from "../support/outcome.js";

const REPORT = JSON.stringify({
  group: { name: "g", epoch: 3, rank: 1, state: "open" },
  size: 4,
});

/** Limit for a response or an error, ms. */
const OUTCOME_LIMIT_MS = 400;

async function startRunner(): Promise<{
  readonly address: string;
  readonly close: () => Promise<void>;
}> {
  const server = createServer((_, response) => {
    response.end(REPORT);
  });
  const listening = await listen(server, { host: "127.0.0.1", port: 0 });
  return {
    address: listening.address,
    close: async () => {
      await listening[Symbol.asyncDispose]();
    },
  };
}

describe("rank port", () => {
  it("times out while no connection can be established, and reconnects afterwards", async () => {
    // The rank's VM is behind a network partition: its SYN packets are lost and
    // retransmitted only after seconds. The planner observes all ranks
    // together, so an observation that waits for the connection would block map
    // changes of the whole group. Once the partition ends, the next observation
    // has to succeed.
    const { address, close } = await startRunner();
    const connector = buildConnector({});
    let isPartitioned = true;
    const port = createRankPort(
      address,
      (to) =>
        new Client(`http://${to}`, {
          connect: (options, done) => {
            if (!isPartitioned) connector(options, done);
          },
        }),
    );
    assert.is(await outcomeWithin(port.observe(), OUTCOME_LIMIT_MS), "failed");
    assert.is(await outcomeWithin(port.observe(), OUTCOME_LIMIT_MS), "failed");
    isPartitioned = false;
    const state = await port.observe();
    assert.is(state.epoch, 3);
    assert.is(state.isOpen, true);
    await close();
  });
});
