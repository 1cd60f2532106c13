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

/** A time by which an answer or a failure has to be there, ms. */
const SOON_MS = 400;

async function runner(): Promise<{
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

describe("port of a rank", () => {
  it("fails in time while a connection doesn't come about, and tries anew", async () => {
    // The rank's VM is behind a cut: its opening packets are lost and sent again
    // after seconds. The planner looks at all ranks together, so a look that
    // waits for the connection keeps the maps of the whole group as they are;
    // and the rank that is back has to be seen with the next look.
    const { address, close } = await runner();
    const connector = buildConnector({});
    let isCut = true;
    const port = createRankPort(
      address,
      (to) =>
        new Client(`http://${to}`, {
          connect: (options, done) => {
            if (!isCut) connector(options, done);
          },
        }),
    );
    assert.is(await outcomeWithin(port.observe(), SOON_MS), "failed");
    assert.is(await outcomeWithin(port.observe(), SOON_MS), "failed");
    isCut = false;
    const state = await port.observe();
    assert.is(state.epoch, 3);
    assert.is(state.isOpen, true);
    await close();
  });
});
