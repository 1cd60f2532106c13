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
const PIECE_MS = 5;

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
   * The caller opens a stream and reads nothing, but keeps the connection. The
   * engine goes on, so the entry would keep more and more of the answer in
   * memory. After the stall limit the connection is cut, and the request
   * learns that its caller is gone.
   */
  it("is cut off after the stall limit, by one guard", async () => {
    const seen = { listeners: 0, isGone: false };
    const server = createServer((_request, response) => {
      const options = { request: "r", streamed: true, limits };
      const writer = createAnswerWriter(response, options);
      writer.signal.addEventListener("abort", () => {
        seen.isGone = true;
      });
      void (async () => {
        writer.head(200, [], true);
        while (!seen.isGone) {
          writer.piece(PIECE);
          await sleep(PIECE_MS);
          const count = response.listenerCount("drain");
          seen.listeners = Math.max(seen.listeners, count);
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
    while (!seen.isGone) await sleep(PIECE_MS);
    socket.destroy();
    server.close();
    assert.ok(seen.listeners <= 2, `${seen.listeners} listeners`);
  });
});
