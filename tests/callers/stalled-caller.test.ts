import { once } from "node:events";
import { createServer } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import { createAnswerWriter } from "../../src/daemon/entry/answer-writer.js";
import {
  parseSettings,
  type EntrySettings,
} from "../../src/daemon/settings.js";
import { describe, it } from "../support/describe.js";

const PIECE = Buffer.alloc(256 * 1024, "a");
const PIECE_INTERVAL_MS = 5;

const { limits } = parseSettings(
  JSON.stringify({
    role: "entry",
    name: "entry",
    dataCentre: "lac",
    platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:1" },
    limits: { writeStallMs: 300 },
  }),
  "test",
) as EntrySettings;

describe("a caller that stops reading", () => {
  /*
   * A caller that keeps its connection open without reading would make the
   * entry buffer the engine's answer without bound. After the stall limit the
   * entry breaks the connection and aborts the writer's signal.
   */
  it("is disconnected after the stall limit, by a single timer", async () => {
    const observed = { listeners: 0, callerGone: false };
    const server = createServer((_request, response) => {
      const options = { request: "r", streamed: true, limits };
      const writer = createAnswerWriter(response, options);
      writer.signal.addEventListener("abort", () => {
        observed.callerGone = true;
      });
      void (async () => {
        writer.head(200, [], true);
        while (!observed.callerGone) {
          writer.piece(PIECE);
          await sleep(PIECE_INTERVAL_MS);
          const count = response.listenerCount("drain");
          observed.listeners = Math.max(observed.listeners, count);
        }
      })();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.pause();
    socket.on("error", () => undefined);
    socket.write("GET / HTTP/1.1\r\nhost: entry\r\n\r\n");
    while (!observed.callerGone) await sleep(PIECE_INTERVAL_MS);
    socket.destroy();
    server.close();
    assert.ok(observed.listeners <= 2, `${observed.listeners} listeners`);
  });
});
