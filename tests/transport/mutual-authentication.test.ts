import { fileURLToPath } from "node:url";
import { Metadata, Server } from "@grpc/grpc-js";
import * as assert from "uvu/assert";
import { bindServer } from "../../src/daemon/peer-server.js";
import {
  parseSettings,
  type TransportSettings,
} from "../../src/daemon/settings.js";
import {
  channelOptions,
  clientCredentials,
  serverCredentials,
} from "../../src/daemon/transport.js";
import { ApricotdeckError } from "../../src/internal.js";
import {
  ExpertBalanceClient,
  ExpertBalanceService,
} from "../../src/wire/generated/balance.js";
import { describe, it } from "../support/describe.js";

const CALL_MS = 2000;
const folder = new URL(
  "../../../tests/transport/certificates/",
  import.meta.url,
);
const fileOf = (name: string): string => fileURLToPath(new URL(name, folder));

function transportOf(holder: string): TransportSettings {
  return {
    certificateFile: fileOf(`${holder}.pem`),
    keyFile: fileOf(`${holder}.key`),
    authorityFile: fileOf("authority.pem"),
    allowPlaintext: false,
  };
}

const plaintext: TransportSettings = { allowPlaintext: false };

function agentSettings(): ReturnType<typeof parseSettings> {
  const settings = {
    role: "entry",
    name: "entry",
    dataCentre: "lac",
    transport: transportOf("daemon"),
    platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:1" },
  };
  return parseSettings(JSON.stringify(settings), "test");
}

/** Whether a call with these credentials is answered. */
async function isAnswered(
  address: string,
  transport: TransportSettings,
): Promise<boolean> {
  const credentials = clientCredentials(transport, address);
  const client = new ExpertBalanceClient(address, credentials, channelOptions);
  const deadline = Date.now() + CALL_MS;
  const report = {
    clock: undefined,
    group: "pool",
    rank: 0,
    window: 0,
    mapVersion: 0,
    tokens: [],
    busySeconds: 0,
    requestTokens: 0,
  };
  const answered = await new Promise<boolean>((resolve) => {
    client.reportWindow(report, new Metadata(), { deadline }, (error) => {
      resolve(error === null);
    });
  });
  client.close();
  return answered;
}

describe("connections between daemons with certificates", () => {
  it("serve only callers that the authority has signed", async () => {
    const server = new Server();
    server.addService(ExpertBalanceService, {
      reportWindow: (
        _call: unknown,
        reply: (error: null, value: object) => void,
      ) => {
        reply(null, {});
      },
    });
    const address = await bindServer(server, agentSettings());
    assert.ok(await isAnswered(address, transportOf("daemon")));
    assert.not(await isAnswered(address, transportOf("stranger")));
    assert.not(await isAnswered(address, plaintext));
    server.forceShutdown();
  });
});

describe("connections between daemons without certificates", () => {
  it("are refused beyond loopback unless the settings allow them", () => {
    for (const make of [clientCredentials, serverCredentials]) {
      try {
        make(plaintext, "10.0.0.1:4000");
        assert.unreachable("plaintext was allowed");
      } catch (error) {
        assert.is((error as ApricotdeckError).number, 1003);
      }
      make({ allowPlaintext: true }, "10.0.0.1:4000");
    }
  });

  it("need certificate, key and authority together", () => {
    const half = { ...plaintext, keyFile: fileOf("daemon.key") };
    try {
      clientCredentials(half, "127.0.0.1:4000");
      assert.unreachable("half of the files were taken");
    } catch (error) {
      assert.is((error as ApricotdeckError).number, 1002);
    }
  });
});
