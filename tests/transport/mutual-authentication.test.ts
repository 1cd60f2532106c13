import { fileURLToPath } from "node:url";
import { Metadata } from "@grpc/grpc-js";
import * as assert from "uvu/assert";
import { PeerListener } from "../../src/daemon/peer-listener.js";
import {
  parseSettings,
  type TransportSettings,
} from "../../src/daemon/settings.js";
import {
  channelOptions,
  clientCredentials,
  serverCredentials,
} from "../../src/daemon/transport.js";
import {
  ApricotdeckError,
  ignoreEvents,
  ignoreMeasurements,
} from "../../src/internal.js";
import {
  ExpertBalanceClient,
  ExpertBalanceService,
} from "../../src/wire/generated/balance.js";
import { describe, it } from "../support/describe.js";

const CALL_TIMEOUT_MS = 2000;
const certificatesFolder = new URL(
  "../../../tests/transport/certificates/",
  import.meta.url,
);
const certificatePath = (name: string): string =>
  fileURLToPath(new URL(name, certificatesFolder));

function transportOf(holder: string): TransportSettings {
  return {
    certificateFile: certificatePath(`${holder}.pem`),
    keyFile: certificatePath(`${holder}.key`),
    authorityFile: certificatePath("authority.pem"),
    allowPlaintext: false,
  };
}

const plaintext: TransportSettings = { allowPlaintext: false };

function entrySettings(): ReturnType<typeof parseSettings> {
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
  const deadline = Date.now() + CALL_TIMEOUT_MS;
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
  it("serve only peers with a certificate signed by the authority", async () => {
    const settings = entrySettings();
    await using listener = PeerListener.create({
      settings,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
    });
    listener.server.addService(ExpertBalanceService, {
      reportWindow: (
        _call: unknown,
        reply: (error: null, value: object) => void,
      ) => {
        reply(null, {});
      },
    });
    const address = await listener.bind(settings.peers, settings.transport);
    assert.ok(await isAnswered(address, transportOf("daemon")));
    assert.not(await isAnswered(address, transportOf("untrusted")));
    assert.not(await isAnswered(address, plaintext));
  });
});

describe("connections between daemons without certificates", () => {
  it("are refused beyond loopback unless the settings allow them", () => {
    for (const createCredentials of [clientCredentials, serverCredentials]) {
      try {
        createCredentials(plaintext, "10.0.0.1:4000");
        assert.unreachable("plaintext was allowed");
      } catch (error) {
        assert.is((error as ApricotdeckError).number, 1003);
      }
      createCredentials({ allowPlaintext: true }, "10.0.0.1:4000");
    }
  });

  it("need certificate, key and authority together", () => {
    const incomplete = { ...plaintext, keyFile: certificatePath("daemon.key") };
    try {
      clientCredentials(incomplete, "127.0.0.1:4000");
      assert.unreachable("an incomplete set of files was accepted");
    } catch (error) {
      assert.is((error as ApricotdeckError).number, 1002);
    }
  });
});
