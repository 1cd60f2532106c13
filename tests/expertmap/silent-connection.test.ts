import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import { MapPeers } from "../../src/daemon/expert-map/peers.js";
import { PeerListener } from "../../src/daemon/peer-listener.js";
import { createContext } from "../../src/daemon/process-context.js";
import { parseSettings } from "../../src/daemon/settings.js";
import { ExpertMapsService } from "../../src/wire/generated/expertmap.js";
import { startSilentRelay } from "../../standins/silent-relay.js";
import { describe, it } from "../support/describe.js";

const RESEND_MS = 100;

const settings = parseSettings(
  JSON.stringify({
    role: "entry",
    name: "entry",
    dataCentre: "lac",
    logLevel: "error",
    platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:1" },
  }),
  "test",
);

describe("messages between the agents of a group", () => {
  // A relay between two agents lost the state of their connection: it accepts
  // every message and delivers none, while a new connection would work. Unless
  // the connection is replaced, resending never helps, and map proposals keep
  // failing with 1602.
  it("arrive again after their connection stopped delivering", async () => {
    let delivered = 0;
    const context = createContext(settings);
    const listener = PeerListener.create({ ...context, settings });
    const { server } = listener;
    server.addService(ExpertMapsService, {
      deliver: (
        _call: unknown,
        reply: (error: null, value: object) => void,
      ) => {
        delivered += 1;
        reply(null, {});
      },
      describe: () => undefined,
    });
    const address = await listener.bind(settings.peers, settings.transport);
    await using relay = await startSilentRelay(() => address);
    using peers = MapPeers.create(context, settings.transport);
    peers.setAddresses(new Map([["other", relay.address]]));
    const sendUntilDelivered = async (): Promise<void> => {
      const before = delivered;
      while (delivered === before) {
        peers.send("other", {
          kind: "seal",
          formation: { number: 1, author: "entry" },
        });
        await sleep(RESEND_MS);
      }
    };
    await sendUntilDelivered();
    assert.is(relay.silence(), 1);
    await sendUntilDelivered();
    assert.ok(delivered >= 2);
    await listener[Symbol.asyncDispose]();
  });
});
